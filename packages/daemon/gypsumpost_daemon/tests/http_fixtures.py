"""Helpers for tests of HTTP servers over real loopback sockets."""

import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.http.asgi_application import ASGIApplication, Receive, Scope, Send
from gypsumpost_daemon.http.http_server import HTTP_SERVERS
from gypsumpost_daemon.http.running_server import RunningServer

MAX_BODY = 100_000


@asynccontextmanager
async def run_server(
    name: str, application: ASGIApplication, address: str = "127.0.0.1:0"
) -> AsyncIterator[RunningServer]:
    async with trio.open_nursery() as nursery:
        serve = functools.partial(
            HTTP_SERVERS.create,
            name,
            application=application,
            address=address,
            max_body=MAX_BODY,
            tls=None,
        )
        running = await nursery.start(serve)
        yield running
        nursery.cancel_scope.cancel()


async def connect(running: RunningServer) -> trio.SocketStream:
    ip, port = split_address(running.address)
    return await trio.open_tcp_stream(ip, port)


async def read_to_end(stream: trio.SocketStream) -> bytes:
    received = b""
    with trio.fail_after(10):
        while data := await stream.receive_some(65536):
            received += data
    return received


async def exchange(running: RunningServer, request: bytes) -> bytes:
    """Send bytes and return everything up to the end of the connection."""
    async with await connect(running) as stream:
        await stream.send_all(request)
        return await read_to_end(stream)


def close_request(path: str = "/") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()


async def read_body(receive: Receive) -> bytes | None:
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message["body"]
        if not message["more_body"]:
            return body


async def send_whole(send: Send, body: bytes, headers: list[tuple[bytes, bytes]]) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def echo(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers with method, path and body."""
    body = await read_body(receive)
    if body is None:
        return
    text = f"{scope['method']} {scope['path']} ".encode() + body
    await send_whole(send, text, [(b"content-length", b"%d" % len(text))])


@attrs.define
class Streamer:
    """Sends parts, by default without end, and sets ``ended`` when the caller disconnects."""

    part: bytes = b"x" * 65536
    part_count: int = 1 << 30
    ended: trio.Event = attrs.field(factory=trio.Event)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        await read_body(receive)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, receive, nursery.cancel_scope)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            for _ in range(self.part_count):
                body = {"type": "http.response.body", "body": self.part, "more_body": True}
                await send(body)
                await trio.lowlevel.checkpoint()
            await send({"type": "http.response.body"})
            nursery.cancel_scope.cancel()

    async def _watch(self, receive: Receive, scope: trio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self.ended.set()
        scope.cancel()
