"""One request and its response as an ASGI application sees them."""

import contextlib

import h11
import trio

from gypsumpost_core.memory.connection_entry import ConnectionEntry
from gypsumpost_core.memory.connection_stage import ConnectionStage
from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.asgi_application import Message
from gypsumpost_daemon.http.http_body import HttpBody
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import HttpRefusal, RefusalReview, keep_refusal
from gypsumpost_daemon.http.http_response import HttpResponse, frame_chunk
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.transport import Transport

DISCONNECT = "http.disconnect"
ABORT = "http.response.abort"
"""Message of an application that cannot complete the response; the connection is closed."""


class HttpExchange:
    """Provides ``receive`` and ``send`` for one request.

    Both access the connection directly from the calling task. After a disconnect ``send`` does
    nothing, as ASGI 2.3 requires, and ``receive`` reports it.

    :param transport: the connection.
    :param parser: h11 state of the connection after the request's headers.
    :param request: the request's headers.
    :param limits: the limits.
    :param closing: true if the connection is to be closed after the response.
    :param chunked: true if the body has the chunked transfer coding.
    :param head_bytes: memory that the head of the request takes.
    :param guard: counts what the exchange holds.
    :param entry: the connection among all of them.
    :param review: decides what is sent where the body exceeds a limit.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        parser: h11.Connection,
        request: h11.Request,
        limits: HttpLimits,
        closing: bool,
        chunked: bool = False,
        head_bytes: int = 0,
        guard: OverloadGuard | None = None,
        entry: ConnectionEntry | None = None,
        review: RefusalReview = keep_refusal,
    ) -> None:
        self._transport = transport
        self._limits = limits
        self._guard = guard or OverloadGuard()
        self._entry = entry
        self._review = review
        self._headers = list(request.headers)
        self._body = HttpBody(
            transport=transport,
            parser=parser,
            chunked=chunked,
            head_bytes=head_bytes,
            entry=entry,
            limits=limits,
            guard=self._guard,
        )
        self._read_ahead_holder: MemoryHolder | None = None
        self._response = HttpResponse(transport=transport, parser=parser, request=request)
        self._ended = trio.Event()
        self._body_delivered = False
        self.closing = closing
        self.disconnected = False
        self.aborted = False

    @property
    def reusable(self) -> bool:
        """True if another request may follow on the connection."""
        return self._response.complete and self._body.complete and not self.disconnected

    @property
    def answered(self) -> bool:
        """True if the response is complete."""
        return self._response.complete

    @property
    def next_parser(self) -> h11.Connection:
        """The parser of the next request, if another one may follow."""
        return self._body.following_parser

    def close(self) -> None:
        """Stop counting what the exchange held."""
        self._headers = []
        self._body.close()
        if self._read_ahead_holder is not None:
            self._guard.account.close(self._read_ahead_holder)

    async def receive(self) -> Message:
        """Return the whole body; after that, wait for the disconnect."""
        if self._body_delivered or self.disconnected:
            return await self._wait_for_disconnect()
        try:
            body = await self._body.read()
        except HttpRefusal as refusal:
            await self.refuse(await self._review(refusal, self._headers))
            return {"type": DISCONNECT}
        except OSError:
            self.disconnect()
            return {"type": DISCONNECT}
        self._body_delivered = True
        if self._entry is not None:
            self._entry.enter(ConnectionStage.ANSWERING, trio.current_time())
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(self, message: Message) -> None:
        """Send a part of the response.

        :param message: ASGI ``http.response.start`` or ``http.response.body``, or an ``ABORT``.
        """
        if self.disconnected or self._response.complete:
            return
        if message["type"] == ABORT:
            self.aborted = True
            self.disconnect()
        elif self._response.writes_chunks and message.get("more_body"):
            await self._send_chunk(message["body"])
        elif message["type"] == "http.response.body":
            body, more = message.get("body", b""), message.get("more_body", False)
            await self._send_body(body, more)
        elif message["type"] == "http.response.start":
            self._response.start(message)

    async def refuse(self, refusal: HttpRefusal) -> None:
        """Send an error response of the server if nothing was sent yet, and end the exchange.

        :param refusal: the status and body.
        """
        if not self._response.begun:
            self.closing = True
            body = refusal.encode_body()
            headers = refusal.create_headers(body)
            self._response.start({"status": refusal.status, "headers": headers})
            # h11 sends nothing more after an invalid response of the application.
            with contextlib.suppress(h11.LocalProtocolError):
                await self._send_body(body, False)
        self.disconnect()

    def disconnect(self) -> None:
        """Make ``receive`` report a disconnect and ``send`` do nothing."""
        self.disconnected = True
        self._ended.set()

    async def _send_chunk(self, body: bytes) -> None:
        if body:
            try:
                await self._transport.send(frame_chunk(body))
            except OSError:
                self.disconnect()

    async def _send_body(self, body: bytes, more: bool) -> None:
        if not self._body_delivered and not self._response.begun:
            self._consume_received()
        try:
            keep_alive = self._body.complete and not self.closing
            await self._response.send_body(body, more, keep_alive=keep_alive)
        except OSError:
            self.disconnect()
        if self._response.complete:
            self._ended.set()

    def _consume_received(self) -> None:
        """Take a short body that nobody needs, so that the connection can be used again."""
        try:
            self._body.consume_received()
        except HttpRefusal:
            self.closing = True

    async def _wait_for_disconnect(self) -> Message:
        while not self._ended.is_set():
            if not self._may_read_ahead():
                # A disconnect is then detected by the next ``send``.
                await self._ended.wait()
                break
            await self._read_ahead()
        await trio.lowlevel.checkpoint()
        return {"type": DISCONNECT}

    def _may_read_ahead(self) -> bool:
        ahead = len(self.next_parser.trailing_data[0])
        if not ahead:
            return True
        if self._read_ahead_holder is None:
            self._read_ahead_holder = self._guard.hold(HeldKind.READ_AHEAD, self.disconnect)
        allowed = self._guard.resize(self._read_ahead_holder, ahead)
        pressed = self._guard.account.under_pressure
        return allowed and not pressed and ahead <= self._limits.max_pipelined

    async def _read_ahead(self) -> None:
        try:
            data = await self._transport.receive()
            if not data:
                self.disconnect()
            self.next_parser.receive_data(data)
        except OSError:
            self.disconnect()
