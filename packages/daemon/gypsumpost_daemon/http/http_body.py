"""Reads the body of one request."""

import h11
import trio

from gypsumpost_core.memory.connection_entry import ConnectionEntry
from gypsumpost_core.memory.framing_cost import is_costly
from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.least_progress import LeastProgress
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.body_buffer import BodyBuffer
from gypsumpost_daemon.http.chunk_decoder import ChunkDecoder
from gypsumpost_daemon.http.decode_turns import CHUNKS_PER_TURN, CHUNKS_WITHOUT_TURN
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import (
    refuse_long_body,
    refuse_malformed,
    refuse_overloaded,
    refuse_slow_body,
)
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.transport import Transport

UNCOUNTED_BYTES = 8192
"""Shorter requests are part of what each connection takes."""


class HttpBody:
    """The body of the current request of a connection.

    h11 reads bodies with a length. Chunked ones are decoded here, because h11 needs three events
    for each chunk; the parser of the connection then cannot be used for the next request.

    :param transport: the connection.
    :param parser: h11 state of the connection after the request's headers.
    :param chunked: true for a body in the chunked transfer coding.
    :param head_bytes: memory that the head of the request takes.
    :param entry: the connection among all of them.
    :param limits: the limits.
    :param guard: counts the body and lets it be decoded.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        parser: h11.Connection,
        chunked: bool,
        head_bytes: int = 0,
        entry: ConnectionEntry | None = None,
        limits: HttpLimits,
        guard: OverloadGuard,
    ) -> None:
        self._transport = transport
        self._parser = parser
        self._limits = limits
        self._guard = guard
        self._buffer = BodyBuffer()
        self._decoder = ChunkDecoder(keeps_following=True) if chunked else None
        self._entry = entry
        self._base_bytes = head_bytes
        self._begun = False
        self._received = 0
        self._holder: MemoryHolder | None = None
        self._released = False
        self._receiving: trio.CancelScope | None = None
        self._progress: LeastProgress | None = None
        self.complete = False
        self.following_parser = parser
        """The parser that takes the input after the body, once the body is complete."""

    async def read(self) -> bytes:
        """Wait for the whole body and return it.

        The body counts as held until :meth:`close` is called.

        :raises HttpRefusal: if the body is malformed, too long or too slow, or there is no room.
        :raises OSError: if the connection is lost.
        """
        try:
            self.consume_received()
            while not self.complete:
                if self._decoder is not None and self._decoder.has_more:
                    await self._decode_in_turn(self._decoder)
                    continue
                data = await self._receive()
                self._check_released()
                self._consume(data)
        except BaseException:
            self.close()
            raise
        if self._holder is not None:
            self._guard.account.change_kind(self._holder, HeldKind.KEPT_BODY)
        return self._buffer.take()

    def consume_received(self) -> None:
        """Take the part of the body that has arrived with the head, without waiting for more.

        :raises HttpRefusal: if the body is malformed or too long, or there is no room for it.
        """
        if self._begun:
            return
        self._begun = True
        if self._base_bytes > UNCOUNTED_BYTES:
            self._append(b"")
        if self._decoder is None:
            self._read_events()
        else:
            leading = self._parser.trailing_data[0]
            self._base_bytes += len(leading)  # The parser keeps it until the request is answered.
            self._consume(leading)

    def close(self) -> None:
        """Free the body; it is not counted any more."""
        self._buffer.clear()
        if self._holder is not None:
            self._guard.account.close(self._holder)
            self._holder = None

    def _consume(self, data: bytes) -> None:
        if self._decoder is None:
            self._parser.receive_data(data)
            self._read_events()
        elif data:
            self._received += len(data)
            self._decode(self._decoder, data, CHUNKS_WITHOUT_TURN)
        elif self._progress is not None:  # Nothing was received rather than nothing with the head.
            raise refuse_malformed("The connection ended before the body was complete.")

    def _read_events(self) -> None:
        """Take the events of a body with a length."""
        while not self.complete:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise refuse_malformed(str(error), error.error_status_hint) from error
            if isinstance(event, h11.Data):
                self._append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            else:
                return

    def _decode(self, decoder: ChunkDecoder, data: bytes, max_chunks: int) -> None:
        """Decode a bounded number of chunks."""
        try:
            content = decoder.feed(data, max_chunks)
        except ValueError as error:
            raise refuse_malformed(str(error)) from error
        self._append(content, buffered=decoder.buffered, announced=decoder.announced)
        if decoder.ended:
            self.complete = True
            self.following_parser = create_parser(self._limits)
            if decoder.following:  # An empty argument would mean the end of the connection.
                self.following_parser.receive_data(decoder.following)

    async def _decode_in_turn(self, decoder: ChunkDecoder) -> None:
        """Decode more of what was received, in turns with other bodies."""
        if self._guard.turns.crowded and is_costly(self._received, self._buffer.size):
            self._guard.record_refusal(EndReason.COSTLY_FRAMING)
            raise refuse_overloaded("The chunks of the body are too short for a busy host.")
        waits_since = trio.current_time()
        async with self._guard.turns.open_turn():
            self._check_released()
            if self._progress is not None:
                self._progress.excuse(trio.current_time() - waits_since)
            self._decode(decoder, b"", CHUNKS_PER_TURN)

    def _append(self, content: bytes | bytearray, *, buffered: int = 0, announced: int = 0) -> None:
        """Add content and count it.

        :param content: the bytes.
        :param buffered: bytes that are held undecoded.
        :param announced: bytes that the caller has announced and not sent yet.
        """
        if self._buffer.size + len(content) + announced > self._limits.max_body:
            self._guard.record_refusal(EndReason.LONG_BODY)
            raise refuse_long_body(self._limits.max_body)
        self._buffer.append(content)
        if self._progress is not None:
            now = trio.current_time()
            self._progress.record(len(content), now)
            if self._entry is not None:
                self._entry.record_progress(len(content), now)
        held = self._base_bytes + self._buffer.size + buffered
        if self._holder is None and held > UNCOUNTED_BYTES:
            self._holder = self._guard.hold(HeldKind.INCOMPLETE_BODY, self._let_go)
        if self._holder is not None:
            if not self._guard.resize(self._holder, held):
                self._released = True
            self._check_released()

    def _let_go(self) -> None:
        self._released = True
        self._buffer.clear()
        if self._decoder is not None:
            self._decoder.clear()
        if self._receiving is not None:
            self._receiving.cancel()

    def _check_released(self) -> None:
        if self._released:
            self._guard.record_refusal(EndReason.MEMORY)
            raise refuse_overloaded("The host has no memory for this body now.")

    async def _receive(self) -> bytes:
        if self._parser.they_are_waiting_for_100_continue and not self._received:
            head = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._transport.send(head or b"")
        now = trio.current_time()
        if self._progress is None:
            seconds = self._limits.body_seconds
            least = seconds * self._limits.least_rate
            self._progress = LeastProgress(least=least, seconds=seconds, now=now)
        with trio.CancelScope(deadline=self._progress.deadline) as scope:
            self._receiving = scope
            try:
                return await self._transport.receive()
            finally:
                self._receiving = None
        self._check_released()
        self._guard.record_refusal(EndReason.SLOW_BODY)
        raise refuse_slow_body(self._limits.body_seconds)


def create_parser(limits: HttpLimits) -> h11.Connection:
    """Return the HTTP state of a connection before its next request.

    :param limits: the limits.
    """
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head)
