"""Fetches the state of generations from other daemons."""

import attrs
import trio
from result import Ok

from gypsumpost_core.event_id import EventId
from gypsumpost_core.generation_record import GenerationRecord
from gypsumpost_daemon.copy_codec import SCHEMA, read_record
from gypsumpost_daemon.host_directory import HostDirectory
from gypsumpost_daemon.message_kind import MessageKind
from gypsumpost_daemon.peer_channel import PeerChannel

TAKE_OVER_SECONDS = 0.5
"""Longest wait for one host; a live host answers within milliseconds."""


@attrs.define(kw_only=True)
class TakeOverClient:
    """Asks the hosts that an event id names.

    :param directory: the known hosts.
    :param network: carries the requests.
    """

    directory: HostDirectory
    network: PeerChannel

    async def fetch(self, event_id: EventId, workspace: str) -> GenerationRecord | None:
        """Take a generation over from its home, else from the holder of its copy.

        :param event_id: the last event that the caller has.
        :param workspace: the caller's workspace.
        """
        # A home held for dead is asked last: it may be cut off from others only.
        hosts = [event_id.home, event_id.copy]
        hosts.sort(key=lambda host_id: not self.directory.is_live(host_id))
        for host_id in hosts:
            if host_id != self.directory.own.host_id and self.directory.get(host_id):
                record = await self._ask(host_id, event_id.generation_id, workspace)
                if record is not None:
                    return record
        return None

    async def _ask(
        self, host_id: str, generation_id: str, workspace: str
    ) -> GenerationRecord | None:
        message = SCHEMA.TakeOver.new_message(generationId=generation_id, workspace=workspace)
        deadline = trio.current_time() + TAKE_OVER_SECONDS
        reply = await self.network.request(
            host_id, MessageKind.TAKE_OVER, bytes(message.to_bytes()), deadline
        )
        if not isinstance(reply, Ok):
            return None
        with SCHEMA.TakeOverReply.from_bytes(reply.ok_value) as answer:
            return read_record(answer.record) if answer.found else None
