"""A small HTTP/1.1 server for stand-ins, and reading of messages for stand-in clients."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl

REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected Request", 503: "Service Unavailable"}


@dataclasses.dataclass
class Request:
    """A request that has been received whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query parameters."""
        return dict(parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass
class Head:
    """The first lines of a message."""

    first: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the head of the next message, ``None`` if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Head(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a chunked body, empty at its regular end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a whole body with a length or in chunks."""
    if head.headers.get("transfer-encoding") == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def encode_answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer with a length; underscores in names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Connection:
    """The writing side of an accepted connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send data; raises ``ConnectionError`` once the other side has closed."""
        if self.writer.is_closing():
            raise ConnectionResetError("closed")
        self.writer.write(data)
        await self.writer.drain()


Handler = Callable[[Request, Connection], Awaitable[None]]


class HttpServer:
    """Serves requests one after the other on each connection.

    A handler is cancelled when the other side closes its connection, as most servers drop a
    request then.
    """

    def __init__(self, ip: str, handler: Handler) -> None:
        self.ip = ip
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    @property
    def address(self) -> str:
        """``ip:port``."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before if it was stopped."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Refuse connections and reset the open ones, as the system does for a killed process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._open.items()):
            writer.transport.abort()
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = writer
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._open.pop(task, None)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (head := await read_head(reader)) is not None:
            method, target, _ = head.first.split(" ")
            body = await read_body(reader, head)
            request = Request(method, target, head.headers, body)
            answering = asyncio.ensure_future(self._handler(request, Connection(writer)))
            leaving = asyncio.ensure_future(self._wait_closed(reader))
            try:
                await asyncio.wait({answering, leaving}, return_when=asyncio.FIRST_COMPLETED)
                if not answering.done():
                    return
                answering.result()
            finally:
                for task in (answering, leaving):
                    task.cancel()
                    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                        await task

    async def _wait_closed(self, reader: asyncio.StreamReader) -> None:
        """Wait until the other side has closed; it sends nothing while it waits for an answer."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
