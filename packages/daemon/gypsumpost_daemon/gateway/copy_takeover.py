"""Finds the copy of a stream whose caller comes back to another host."""

import trio
from result import Err

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.peer_copy import PeerCopy
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.stream_codec import (
    decode_stream_query,
    decode_stream_state,
    encode_stream_query,
    encode_stream_state,
)
from gypsumpost_daemon.gateway.stream_query import StreamQuery
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

REPLY_SECONDS = 0.1
"""Many round trips within a failure domain; the caller waits for its next event meanwhile."""

SILENCE_SECONDS = 1.0
"""Longer than the beacon interval of an idle host; a host that is silent for longer is gone."""

CHECK_PAUSE_SECONDS = 0.05
"""A caller may come back before its first host has noticed that the connection is closed."""

CHECKS = 2

LOG = Log(prefix="copy")


class CopyTakeover:
    """Decides whether a request continues the stream of another host from its copy.

    Equal requests may come from different callers. A caller that comes back says so with the id of
    its last event, and the host that served it does not serve the stream any more. If this fits
    several streams, none is continued: reading the prompt again is always correct.

    :param copies: locations of the copies of streams.
    :param peers: sends messages to other hosts.
    """

    def __init__(self, *, copies: CopyDirectory, peers: PeerChannel) -> None:
        self._copies = copies
        self._peers = peers
        peers.add_handler(MessageKind.STREAM_STATE, self._serve)

    async def find(self, call: CallerCall) -> CopyReport | None:
        """Return the copy from which a request continues, ``None`` if it is a new one.

        :param call: the request.
        """
        if not call.route.resumable or not call.last_event_id:
            return None
        known = self._copies.list_peer_copies(call.fingerprint, trio.current_time())
        if not known:
            return None
        free = [copy for copy in known if not await self._is_served(copy)]
        LOG.write(
            "looked for the copy of a stream",
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            last_event=call.last_event_id.decode("latin-1"),
            streams=[copy.report.request_id for copy in known],
            not_served=[copy.report.request_id for copy in free],
        )
        return free[0].report if len(free) == 1 else None

    async def _is_served(self, copy: PeerCopy) -> bool:
        """Return true unless the host of a stream has ended it or is gone."""
        for check in range(CHECKS):
            if check:
                await trio.sleep(CHECK_PAUSE_SECONDS)
            if not await self._ask(copy):
                return False
        return True

    async def _ask(self, copy: PeerCopy) -> bool:
        deadline = trio.current_time() + REPLY_SECONDS
        query = StreamQuery(fingerprint=copy.report.fingerprint, request_id=copy.report.request_id)
        reply = await self._peers.request(
            copy.host_id, MessageKind.STREAM_STATE, encode_stream_query(query), deadline
        )
        if isinstance(reply, Err):
            # A process that has ended refuses connections; one that is frozen is silent.
            silent = trio.current_time() >= copy.reported_at + SILENCE_SECONDS
            return not reply.err_value.refused and not silent
        decoded = decode_stream_state(reply.ok_value)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode the state of a stream", peer=copy.host_id, reason=decoded.err_value
            )
            return True
        return decoded.ok_value

    async def _serve(self, request: PeerRequest) -> bytes:
        decoded = decode_stream_query(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode a question about a stream",
                peer=request.host_id,
                reason=decoded.err_value,
            )
            return encode_stream_state(True)
        query = decoded.ok_value
        return encode_stream_state(self._copies.is_serving(query.fingerprint, query.request_id))
