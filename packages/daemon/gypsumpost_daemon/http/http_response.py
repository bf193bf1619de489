"""Writes the response of one request."""

import time
from email.utils import formatdate

import h11

from gypsumpost_daemon.http.asgi_application import Message
from gypsumpost_daemon.http.transport import Transport

Headers = list[tuple[bytes, bytes]]
STATUS_WITHOUT_BODY = frozenset({204, 304})
JOINED_BYTES = 64 << 10
"""A longer body is sent apart from its head rather than copied behind it."""


class HttpResponse:
    """The response to the current request of a connection.

    Once ``writes_chunks`` is true, all parts of the body but the last may be framed with
    ``frame_chunk`` and sent without this class, because h11 keeps no state about single chunks.

    :param transport: the connection.
    :param parser: h11 state of the connection after the request's headers.
    :param request: the request's headers.
    """

    def __init__(
        self, *, transport: Transport, parser: h11.Connection, request: h11.Request
    ) -> None:
        self._transport = transport
        self._parser = parser
        self._is_head = request.method == b"HEAD"
        self._chunks_allowed = request.http_version >= b"1.1"
        self._start: Message | None = None
        self.writes_chunks = False
        self._has_body = True
        self.begun = False
        self.complete = False

    def start(self, message: Message) -> None:
        """Keep status and headers, which are sent with the first part of the body.

        :param message: ASGI ``http.response.start``.
        """
        self._start = message

    async def send_body(self, body: bytes, more: bool, *, keep_alive: bool) -> None:
        """Send a part of the body, with the headers before the first part.

        :param body: the bytes.
        :param more: false for the last part.
        :param keep_alive: false if the connection is to be closed after the response.
        """
        data = b"" if self.begun else self._encode_head(keep_alive)
        if body and self._has_body:
            framed = self._parser.send(h11.Data(data=body)) or b""
            if data and len(framed) > JOINED_BYTES:
                await self._transport.send(data)
                data = b""
            data = data + framed if data else framed
        if not more:
            last = self._parser.send(h11.EndOfMessage()) or b""
            data = data + last if last else data
            self.complete = True
        if data:
            await self._transport.send(data)

    def _encode_head(self, keep_alive: bool) -> bytes:
        if self._start is None:
            raise h11.LocalProtocolError("the body was sent before the start of the response")
        status = int(self._start["status"])
        headers: Headers = [(bytes(k), bytes(v)) for k, v in self._start.get("headers", ())]
        headers.append((b"date", formatdate(time.time(), usegmt=True).encode()))
        if not keep_alive:
            headers.append((b"connection", b"close"))
        data = self._parser.send(h11.Response(status_code=status, headers=headers)) or b""
        self.begun = True
        self._has_body = not self._is_head and status not in STATUS_WITHOUT_BODY
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        self.writes_chunks = self._has_body and self._chunks_allowed and not has_length
        return data


def frame_chunk(body: bytes) -> bytes:
    """Return a part of a body as one chunk of the chunked transfer coding.

    :param body: the part, not empty.
    """
    return b"%x\r\n%b\r\n" % (len(body), body)
