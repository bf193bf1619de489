"""Stand-in clients."""

import asyncio
import dataclasses
import time

from .http import read_body, read_chunk, read_head


@dataclasses.dataclass
class Answer:
    """What a client has received: status 0 if the connection ended before an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    first_at: float = 0.0


def encode_request(
    method: str, path: str, request_id: str, *, body: bytes = b"", **headers: str
) -> bytes:
    """Return a request; underscores in names of headers stand for hyphens."""
    fields = {"X-Request-Attempt-Id": request_id}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items()), "", ""]
    return "\r\n".join(lines).encode() + body


class ClientConnection:
    """A connection of a client to one machine, kept open for many requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> "ClientConnection":
        """Connect."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def exchange(self, data: bytes) -> Answer:
        """Send a request and read its answer, as far as it comes."""
        answer = Answer()
        try:
            self._writer.write(data)
            await self._writer.drain()
            head = await read_head(self._reader)
            if head is None:
                return answer
            answer.status, answer.headers = head.status, head.headers
            if head.headers.get("transfer-encoding") == "chunked":
                while part := await read_chunk(self._reader):
                    answer.first_at = answer.first_at or time.monotonic()
                    answer.body += part
            else:
                answer.body = await read_body(self._reader, head)
            answer.complete = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        return answer


async def call(address: str, data: bytes) -> Answer:
    """Send one request on a new connection."""
    try:
        connection = await ClientConnection.open(address)
    except ConnectionError:
        return Answer()
    try:
        return await connection.exchange(data)
    finally:
        connection.close()
