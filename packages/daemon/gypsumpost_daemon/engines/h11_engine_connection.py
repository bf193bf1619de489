"""One HTTP/1.1 connection to an endpoint."""

import contextlib
import errno
import socket
from collections.abc import Callable

import h11
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.engines.answer_memory import AnswerShare, AnswerTooLongError
from gypsumpost_daemon.engines.endpoint_request import EndpointRequest
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.http.body_buffer import BodyBuffer
from gypsumpost_daemon.http.chunk_decoder import ChunkDecoder
from gypsumpost_daemon.http.http_response import JOINED_BYTES, STATUS_WITHOUT_BODY
from gypsumpost_daemon.http.socket_transport import SocketTransport

MAX_HEAD_BYTES = 65536
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class H11EngineConnection:
    """A socket with its HTTP state; carries one request at a time.

    ``unframed`` is true if the body of the response ends with the connection, so that its end looks
    the same when the endpoint crashes.

    :param sock: the connected socket.
    :param fast_chunks: false to decode chunked bodies with h11, which is slower but ignores bytes
        after the end of a response.
    """

    def __init__(self, *, sock: socket.socket, fast_chunks: bool = True) -> None:
        self._transport = SocketTransport(sock=sock)
        self._fast_chunks = fast_chunks
        self._parser = create_parser()
        self._body_ended = False
        self._chunk_decoder: ChunkDecoder | None = None
        self._leading_content = b""
        self._keeps_alive = False
        self._request_complete = True
        self.unframed = False

    async def send(self, request: EndpointRequest) -> Result[h11.Response, EngineFailure]:
        """Send a request and wait for the response's headers.

        :param request: the request.
        """
        written = await self.write(request)
        if isinstance(written, Err):
            return written
        try:
            return Ok(await self.receive_head(request.method))
        except OSError as error:
            return Err(EngineFailure(reason=str(error), may_have_run=True))

    async def write(self, request: EndpointRequest) -> Result[None, EngineFailure]:
        """Send a request; the remainder of a long body is not sent once the endpoint responds.

        :param request: the request.
        """
        try:
            head, body = self._encode(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return Err(EngineFailure(reason=str(error), may_have_run=False))
        try:
            self._request_complete = await self._transport.send_until_answered(head)
            if body and self._request_complete:
                self._request_complete = await self._transport.send_until_answered(body)
        except OSError as error:
            return Err(EngineFailure(reason=str(error), may_have_run=True))
        return Ok(None)

    async def receive_body(self) -> bytes:
        """Wait for the next part of the body; empty at the regular end of the body.

        :raises OSError: if the connection is lost or the body is malformed.
        """
        chunks = self._chunk_decoder
        if chunks is None:
            return await self._receive_plain_body()
        content = self._leading_content
        self._leading_content = b""
        while not content and not chunks.ended:
            data = await self._transport.receive()
            if not data:
                raise ConnectionResetError("the connection was closed before the end of the body")
            content = decode_chunks(chunks, data)
        return content

    async def receive_whole_body(self, max_bytes: int, share: AnswerShare | None = None) -> bytes:
        """Wait for the end of the body and return it.

        :param max_bytes: greatest accepted length.
        :param share: counts the body among all unfinished answers, ``None`` to leave it out.
        :raises OSError: if the connection is lost, or the body is malformed.
        :raises AnswerTooLongError: if it is too long.
        """
        body = BodyBuffer()
        while part := await self.receive_body():
            body.append(part)
            if body.size > max_bytes:
                raise AnswerTooLongError(f"the body is longer than {max_bytes} bytes")
            if share is not None:
                share.resize(body.size)
        return body.take()

    async def _receive_plain_body(self) -> bytes:
        pieces: list[bytes] = []
        while not self._body_ended:
            event = self._next_event()
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            elif pieces:
                break
            else:
                self._parser.receive_data(await self._transport.receive())
        return b"".join(pieces)

    def prepare_next_request(self) -> bool:
        """Reset the HTTP state; return true if the connection can carry another request."""
        if not self._request_complete:
            # The endpoint would read the next request as the remainder of the body.
            return False
        if self._chunk_decoder is not None:
            # h11 was bypassed for the body, so its state does not show the end of the message.
            complete = self._chunk_decoder.ended and not self._leading_content
            self._chunk_decoder = None
            self._parser = create_parser()
            return complete and self._keeps_alive
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._body_ended = False
        return True

    def is_usable(self) -> bool:
        """Return false if the endpoint has closed the idle connection."""
        return not self._transport.is_readable()

    def close(self) -> None:
        """Close the connection at once."""
        self._transport.close()

    def _encode(self, request: EndpointRequest) -> tuple[bytes, bytes]:
        """Return the request in one piece, or head and body if the body is long."""
        head = h11.Request(
            method=request.method.encode("ascii"),
            target=request.path.encode("ascii"),
            headers=request.create_headers(),
        )
        data = self._parser.send(head) or b""
        body = self._parser.send(h11.Data(data=request.body)) or b"" if request.body else b""
        self._parser.send(h11.EndOfMessage())  # Requests have a length, so no bytes follow.
        return (data, body) if len(body) > JOINED_BYTES else (data + body, b"")

    async def receive_head(self, method: str) -> h11.Response:
        """Wait for the headers of the response; can be called again after cancellation.

        :param method: the method of the request.
        :raises OSError: if the connection is lost or the response is malformed.
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                self._begin_body(event, method)
                return event
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._transport.receive())
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("the connection was closed before the response")

    def _begin_body(self, head: h11.Response, method: str) -> None:
        has_body = method != "HEAD" and head.status_code not in STATUS_WITHOUT_BODY
        self.unframed = has_body and not any(name in FRAMING_HEADERS for name, _ in head.headers)
        if (
            not self._fast_chunks
            or not has_body
            or (b"transfer-encoding", b"chunked") not in head.headers
        ):
            return
        closes = (b"connection", b"close") in head.headers
        self._keeps_alive = head.http_version == b"1.1" and not closes
        self._chunk_decoder = ChunkDecoder()
        self._leading_content = decode_chunks(self._chunk_decoder, self._parser.trailing_data[0])

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(f"malformed response: {error}") from error


def create_parser() -> h11.Connection:
    """Return the HTTP state of a new connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def decode_chunks(chunks: ChunkDecoder, data: bytes) -> bytes:
    """Decode part of a chunked body.

    :param chunks: the decoder of the body.
    :param data: the received bytes.
    :raises OSError: if the encoding is malformed.
    """
    try:
        return chunks.feed(data) if data else b""
    except ValueError as error:
        raise ConnectionResetError(f"malformed response: {error}") from error


async def connect(
    address: str,
    deadline: float,
    prepare: Callable[[socket.socket], None] | None = None,
    *,
    fast_chunks: bool = True,
) -> Result[H11EngineConnection, EngineFailure]:
    """Connect to an endpoint.

    :param address: ``ip:port``.
    :param deadline: monotonic time in seconds at which to stop waiting.
    :param prepare: called with the socket before it is connected, to set options.
    :param fast_chunks: see :class:`H11EngineConnection`.
    """
    try:
        ip, port = split_address(address)
    except ValueError as error:
        return Err(EngineFailure(reason=str(error), may_have_run=False))
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        # The process has no free descriptor.
        return Err(EngineFailure(reason=str(error), may_have_run=False, local=True))
    sock.setblocking(False)
    if prepare is not None:
        prepare(sock)
    connected = refused = False
    reason = "no connection before the deadline"
    try:
        with trio.move_on_at(deadline):
            with contextlib.suppress(BlockingIOError):
                sock.connect((ip, port))
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, "cannot connect")
            connected = True
    except OSError as error:
        reason, refused = str(error), error.errno == errno.ECONNREFUSED
    except (OverflowError, TypeError, ValueError) as error:
        # The port is out of range, or the host has characters (TypeError) that no name can have.
        reason = str(error)
    finally:
        if not connected:
            sock.close()
    if not connected:
        return Err(EngineFailure(reason=reason, may_have_run=False, refused=refused))
    return Ok(H11EngineConnection(sock=sock, fast_chunks=fast_chunks))
