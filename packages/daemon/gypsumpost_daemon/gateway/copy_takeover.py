"""Finds the stream whose caller comes back after its host or its connection was lost."""

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.copy_directory import CopyDirectory, leave_out_continued
from gypsumpost_core.gateway.known_stream import KnownStream, may_have_received
from gypsumpost_core.gateway.stream_state import StreamState
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.stream_codec import (
    decode_stream_query,
    decode_stream_state,
    encode_stream_query,
    encode_stream_state,
)
from gypsumpost_daemon.gateway.stream_memory_exchange import StreamMemoryExchange
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


@attrs.frozen(kw_only=True)
class Candidate:
    """A stream that a caller may continue.

    :param stream: the stream.
    :param sole: true if its host knows for sure of no other one like it.
    """

    stream: KnownStream
    sole: bool


class CopyTakeover:
    """Decides whether a request continues an earlier stream from its copy.

    Equal requests may come from different callers. A caller that comes back says so with the id of
    its last event, and the host that served it does not serve the stream any more. If this fits
    several streams, or there may be one that this host knows nothing of, none is continued: reading
    the prompt again is always correct.

    :param copies: the streams and their copies.
    :param memory: asks other domains for their streams.
    :param peers: sends messages to other hosts.
    """

    def __init__(
        self, *, copies: CopyDirectory, memory: StreamMemoryExchange, peers: PeerChannel
    ) -> None:
        self._copies = copies
        self._memory = memory
        self._peers = peers
        peers.add_handler(MessageKind.STREAM_STATE, self._serve)

    async def find(self, call: CallerCall) -> KnownStream | None:
        """Return the stream that a request continues, ``None`` if it is a new one.

        :param call: the request.
        """
        if not call.route.resumable or not call.last_event_id:
            return None
        now = trio.current_time()
        equal = self._copies.list_equal(call.fingerprint, now)
        unknown = []
        for domain in self._copies.begun.list_domains(call.fingerprint, now):
            streams = await self._memory.list_equal(domain, call.fingerprint)
            if streams is None:
                unknown.append(domain)
            else:
                equal += streams
        known = leave_out_continued(equal)
        if not known:
            return None
        found = [await self._check(stream, call.last_event_id) for stream in known]
        candidates = [candidate for candidate in found if candidate is not None]
        doubt = self._find_doubt(candidates, unknown)
        LOG.write(
            "looked for the copy of a stream",
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            last_event=call.last_event_id.decode("latin-1"),
            streams=[stream.report.request_id for stream in known],
            not_served=[candidate.stream.report.request_id for candidate in candidates],
            doubt=doubt,
        )
        return None if doubt else candidates[0].stream

    def _find_doubt(self, candidates: list[Candidate], unknown: list[str]) -> str:
        """Return why no stream is certain to be the caller's, empty if one is.

        :param candidates: the streams that can be the caller's.
        :param unknown: domains that have equal requests and cannot be asked for their streams.
        """
        if len(candidates) != 1:
            return "several streams" if candidates else "no stream"
        if unknown:
            return "an equal request in another domain"
        if not self._copies.remembers_all(trio.current_time()) and not candidates[0].sole:
            return "this host has started lately"
        return ""

    async def _check(self, stream: KnownStream, last_event_id: bytes) -> Candidate | None:
        """Return a stream if its caller may be the one that has received an event."""
        state = await self._wait_end(stream)
        if state.served or state.over:
            return None
        passed_on = state.last_event_id or stream.report.last_event_id
        if not may_have_received(last_event_id, passed_on):
            return None
        return Candidate(stream=stream, sole=state.sole)

    async def _wait_end(self, stream: KnownStream) -> StreamState:
        """Return the state of a stream, a moment later if its host still serves it."""
        if stream.report.broken and self._copies.remembers_all(trio.current_time()):
            return StreamState(served=False)
        state = await self._ask(stream)
        for _ in range(CHECKS - 1):
            if not state.served:
                break
            await trio.sleep(CHECK_PAUSE_SECONDS)
            state = await self._ask(stream)
        return state

    async def _ask(self, stream: KnownStream) -> StreamState:
        query = StreamQuery(
            fingerprint=stream.report.fingerprint,
            request_id=stream.report.request_id,
            incarnation=stream.incarnation,
        )
        if stream.host_id == self._copies.own_id:
            return self._describe(query)
        deadline = trio.current_time() + REPLY_SECONDS
        reply = await self._peers.request(
            stream.host_id, MessageKind.STREAM_STATE, encode_stream_query(query), deadline
        )
        if isinstance(reply, Err):
            # A process that has ended refuses connections; one that is frozen is silent.
            silent = trio.current_time() >= stream.reported_at + SILENCE_SECONDS
            gone = reply.err_value.refused or silent or stream.report.broken
            return StreamState(served=not gone)
        decoded = decode_stream_state(reply.ok_value)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode the state of a stream", peer=stream.host_id, reason=decoded.err_value
            )
            return StreamState(served=True)
        return decoded.ok_value

    async def _serve(self, request: PeerRequest) -> bytes:
        decoded = decode_stream_query(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode a question about a stream",
                peer=request.host_id,
                reason=decoded.err_value,
            )
            return encode_stream_state(StreamState(served=True))
        return encode_stream_state(self._describe(decoded.ok_value))

    def _describe(self, query: StreamQuery) -> StreamState:
        return self._copies.describe(
            query.fingerprint, query.request_id, query.incarnation, trio.current_time()
        )
