"""Fetches the state of generations from other daemons."""

import attrs
import trio
from result import Ok

from gypsumpost_core.generations.event_id import EventId
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_daemon.copies.copy_codec import SCHEMA, read_record
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel

TAKE_OVER_SECONDS = 0.5
"""Longest wait for one host; a live host answers within milliseconds."""

MAX_REDIRECTS = 4
"""Most owners that are asked one after the other, each named by the one before."""


@attrs.define(kw_only=True)
class TakeOverClient:
    """Asks the hosts that an event id names.

    :param directory: the known hosts.
    :param network: carries the requests.
    """

    directory: HostDirectory
    network: PeerChannel

    async def fetch(
        self, event_id: EventId, workspace: str, known_owner: str = ""
    ) -> GenerationRecord | None:
        """Take a generation over from its owner, its home, else from the holder of its copy.

        :param event_id: the last event that the caller has.
        :param workspace: the caller's workspace.
        :param known_owner: host that this host handed the generation to, empty if none.
        """
        # A home held for dead is asked last: it may be cut off from others only.
        hosts = list(dict.fromkeys((known_owner, event_id.home, event_id.copy)))
        hosts.sort(key=lambda host_id: not self.directory.is_live(host_id))
        for host_id in hosts:
            record = await self._follow(host_id, event_id.generation_id, workspace, MAX_REDIRECTS)
            if record is not None:
                return record
        return None

    async def _follow(
        self, host_id: str, generation_id: str, workspace: str, redirects: int
    ) -> GenerationRecord | None:
        """Ask a host, and the owner that it names in place of an answer."""
        if not self._can_ask(host_id):
            return None
        record, owner = await self._ask(host_id, generation_id, workspace, "")
        if record is not None or not owner or not redirects:
            return record
        record = await self._follow(owner, generation_id, workspace, redirects - 1)
        if record is None:
            record, _ = await self._ask(host_id, generation_id, workspace, owner)
        return record

    def _can_ask(self, host_id: str) -> bool:
        return host_id != self.directory.own.host_id and self.directory.get(host_id) is not None

    async def _ask(
        self, host_id: str, generation_id: str, workspace: str, lost_owner: str
    ) -> tuple[GenerationRecord | None, str]:
        message = SCHEMA.TakeOver.new_message(
            generationId=generation_id, workspace=workspace, lostOwner=lost_owner
        )
        deadline = trio.current_time() + TAKE_OVER_SECONDS
        reply = await self.network.request(
            host_id, MessageKind.TAKE_OVER, bytes(message.to_bytes()), deadline
        )
        if not isinstance(reply, Ok):
            return None, ""
        with SCHEMA.TakeOverReply.from_bytes(reply.ok_value) as answer:
            return read_record(answer.record) if answer.found else None, answer.owner
