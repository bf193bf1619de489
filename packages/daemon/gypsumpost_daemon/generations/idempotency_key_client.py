"""Client of the distributed directory of idempotency keys."""

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.event_id import NO_HOST, EventId
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.generations.generation_digest import compute_request_digest
from gypsumpost_daemon.generations.idempotency_key_codec import encode_entry, read_entry
from gypsumpost_daemon.generations.idempotency_key_directory import IdempotencyKeyDirectory
from gypsumpost_daemon.generations.idempotency_key_entry import IdempotencyKeyEntry
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel

REGISTER_SECONDS = 0.3
"""Timeout of a host responsible for a key; without an answer the request runs nevertheless."""

KEY_REUSED = Failure(
    status=422,
    code="idempotency_key_reused",
    message="The Idempotency-Key was used with another request.",
    run_state=RunState.NOT_RUN,
)


@attrs.define(kw_only=True)
class IdempotencyKeyClient:
    """Registers and looks up idempotency keys on the hosts responsible for them.

    :param directory: the known hosts.
    :param network: sends the messages.
    :param own_entries: entries that are stored on this host.
    """

    directory: HostDirectory
    network: PeerChannel
    own_entries: IdempotencyKeyDirectory

    async def find(self, record: GenerationRecord) -> Result[EventId | None, Failure]:
        """Register a new generation under its key, or find an earlier one.

        :param record: the new generation.
        :returns: an event id of the earlier generation with the same key and body, ``None`` if the
            key is new, or ``KEY_REUSED`` if the bodies differ.
        """
        entry = self._create_entry(record, NO_HOST)
        answers = await self._register(entry, update=False)
        # Concurrent requests can each be first on a different host. All of them receive the same
        # entries and choose the same one, so that one request runs and the others join it.
        known = min(answers, key=lambda e: (e.created_at, e.generation_id), default=entry)
        if known.generation_id == record.generation_id:
            return Ok(None)
        if known.digest != entry.digest:
            return Err(KEY_REUSED)
        return Ok(
            EventId(generation_id=known.generation_id, home=known.home, copy=known.copy, offset=0)
        )

    async def register(self, record: GenerationRecord, holders: list[str]) -> None:
        """Update the home and the holder of a generation on the responsible hosts.

        :param record: the generation.
        :param holders: host ids of the holders of its copies.
        """
        if record.idempotency_key:
            copy = holders[0] if holders else NO_HOST
            await self._register(self._create_entry(record, copy), update=True)

    def _create_entry(self, record: GenerationRecord, copy: str) -> IdempotencyKeyEntry:
        return IdempotencyKeyEntry(
            workspace=record.workspace,
            key=record.idempotency_key,
            digest=compute_request_digest(record),
            generation_id=record.generation_id,
            home=self.directory.own.host_id,
            copy=copy,
            created_at=record.created_at,
            keep_until=record.keep_until,
        )

    async def _register(
        self, entry: IdempotencyKeyEntry, update: bool
    ) -> list[IdempotencyKeyEntry]:
        known: list[IdempotencyKeyEntry] = []
        async with trio.open_nursery() as nursery:
            for host in self._choose_hosts(entry):
                nursery.start_soon(self._register_at, host, entry, update, known)
        return known

    async def _register_at(
        self, host: Host, entry: IdempotencyKeyEntry, update: bool, known: list[IdempotencyKeyEntry]
    ) -> None:
        if host.host_id == self.directory.own.host_id:
            known.append(self.own_entries.register(entry, update))
            return
        deadline = trio.current_time() + REGISTER_SECONDS
        reply = await self.network.request(
            host.host_id, MessageKind.REGISTER_KEY, encode_entry(entry, update), deadline
        )
        if isinstance(reply, Ok):
            with SCHEMA.RegisterKey.from_bytes(reply.ok_value) as message:
                known.append(read_entry(message))

    def _choose_hosts(self, entry: IdempotencyKeyEntry) -> list[Host]:
        ranked = rank_hosts(f"{entry.workspace}\0{entry.key}", self.directory.list_live())
        first = ranked[0]
        others = [host for host in ranked[1:] if host.failure_domain != first.failure_domain]
        return [first, *others[:1]]
