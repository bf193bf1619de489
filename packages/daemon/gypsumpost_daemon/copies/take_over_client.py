"""Requests takeovers of generations from other daemons."""

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
"""Timeout of a request to one host; a live host answers within milliseconds."""

MAX_REDIRECTS = 4
"""Maximum number of successive redirects to another owner."""


@attrs.define(kw_only=True)
class TakeOverClient:
    """Requests the state of a generation from the hosts in an event id.

    :param directory: the known hosts.
    :param network: sends the requests.
    """

    directory: HostDirectory
    network: PeerChannel

    async def fetch(
        self, event_id: EventId, workspace: str, known_owner: str = ""
    ) -> GenerationRecord | None:
        """Take over a generation from its known owner, its home or the holder of its copy.

        :param event_id: id of the last event that the caller received.
        :param workspace: the caller's workspace.
        :param known_owner: host to which this host handed over the generation, empty if none.
        :returns: the state, ``None`` if no host has it.
        """
        # Hosts that membership reports as dead are asked last; they may be unreachable only for
        # other hosts.
        hosts = list(dict.fromkeys((known_owner, event_id.home, event_id.copy)))
        hosts.sort(key=lambda host_id: not self.directory.is_live(host_id))
        for host_id in hosts:
            record = await self._follow_redirects(
                host_id, event_id.generation_id, workspace, MAX_REDIRECTS
            )
            if record is not None:
                return record
        return None

    async def _follow_redirects(
        self, host_id: str, generation_id: str, workspace: str, redirects: int
    ) -> GenerationRecord | None:
        """Request the state from a host and follow its redirects to other owners."""
        if not self._is_known_peer(host_id):
            return None
        record, owner = await self._request_state(host_id, generation_id, workspace, "")
        if record is not None or not owner or not redirects:
            return record
        record = await self._follow_redirects(owner, generation_id, workspace, redirects - 1)
        if record is None:
            record, _ = await self._request_state(host_id, generation_id, workspace, owner)
        return record

    def _is_known_peer(self, host_id: str) -> bool:
        return host_id != self.directory.own.host_id and self.directory.get(host_id) is not None

    async def _request_state(
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
