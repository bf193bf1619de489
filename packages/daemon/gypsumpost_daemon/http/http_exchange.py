"""One request and its response as an ASGI application sees them."""

import contextlib

import h11
import trio

from gypsumpost_daemon.http.asgi_application import Message
from gypsumpost_daemon.http.http_body import HttpBody
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import HttpRefusal
from gypsumpost_daemon.http.http_response import HttpResponse, frame_chunk
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
    """

    def __init__(
        self,
        *,
        transport: Transport,
        parser: h11.Connection,
        request: h11.Request,
        limits: HttpLimits,
        closing: bool,
    ) -> None:
        self._transport = transport
        self._parser = parser
        self._limits = limits
        self._body = HttpBody(transport=transport, parser=parser, limits=limits)
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

    async def receive(self) -> Message:
        """Return the next part of the body; after the last part, wait for the disconnect."""
        if self._body_delivered or self.disconnected:
            return await self._wait_for_disconnect()
        try:
            part = await self._body.read_part()
        except HttpRefusal as refusal:
            await self.refuse(refusal)
            return {"type": DISCONNECT}
        except OSError:
            self.disconnect()
            return {"type": DISCONNECT}
        self._body_delivered = self._body.complete
        return {"type": "http.request", "body": part, "more_body": not self._body_delivered}

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
        try:
            keep_alive = self._body.complete and not self.closing
            await self._response.send_body(body, more, keep_alive=keep_alive)
        except OSError:
            self.disconnect()
        if self._response.complete:
            self._ended.set()

    async def _wait_for_disconnect(self) -> Message:
        while not self._ended.is_set():
            if len(self._parser.trailing_data[0]) > self._limits.max_pipelined:
                # Stop reading ahead; a disconnect is then detected by the next ``send``.
                await self._ended.wait()
                break
            await self._read_ahead()
        await trio.lowlevel.checkpoint()
        return {"type": DISCONNECT}

    async def _read_ahead(self) -> None:
        try:
            data = await self._transport.receive()
            if not data:
                self.disconnect()
            self._parser.receive_data(data)
        except OSError:
            self.disconnect()
