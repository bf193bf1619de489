"""Tests of how connections of the HTTP servers end."""

import functools
import socket

import attrs
import h11
import pytest
import trio
import trio.testing

from gypsumpost_daemon.http import h11_server, socket_transport
from gypsumpost_daemon.http.http_exchange import HttpExchange
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.tests.http_fixtures import Streamer, connect, echo, read_to_end, run_server


@pytest.mark.parametrize("server", ["h11", "hypercorn"])
async def test_disconnect_during_an_answer_reaches_the_application(server):
    """Guards against generations that keep running after their caller has disconnected."""
    application = Streamer()
    async with run_server(server, application) as running:
        async with await connect(running) as stream:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await stream.receive_some(10)
        with trio.fail_after(10):
            await application.ended.wait()


async def test_slow_reader_is_disconnected(monkeypatch):
    """Guards against a caller that reads nothing and keeps its generation open forever."""
    short_limits = functools.partial(HttpLimits, stall_seconds=0.05)
    monkeypatch.setattr(h11_server, "HttpLimits", short_limits)
    application = Streamer()
    async with run_server("h11", application) as running, await connect(running) as stream:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        with trio.fail_after(30):
            await application.ended.wait()


@attrs.define
class FloodTransport:
    """A caller that sends pipelined requests as fast as they are read, 100 times."""

    reads: int = 0

    async def receive(self, max_bytes: int = 65536) -> bytes:
        self.reads += 1
        return b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 400 if self.reads <= 100 else b""

    async def send(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        pass

    def close(self) -> None:
        pass


async def test_input_during_an_answer_is_not_read_without_bound(nursery):
    """Guards against a caller that fills the memory with pipelined requests."""
    transport = FloodTransport()
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    request = parser.next_event()
    assert isinstance(request, h11.Request)
    exchange = HttpExchange(
        transport=transport,
        parser=parser,
        request=request,
        limits=HttpLimits(max_body=1),
        closing=False,
    )
    await exchange.receive()
    nursery.start_soon(exchange.receive)
    await trio.testing.wait_all_tasks_blocked()
    assert 0 < transport.reads < 20
    nursery.cancel_scope.cancel()


async def test_send_times_out_if_the_reader_reads_nothing():
    """Guards against a send that waits forever, and against a send after a partial message."""
    local, remote = connect_pair()
    transport = socket_transport.SocketTransport(sock=local, stall_seconds=0.05)
    with pytest.raises(TimeoutError):
        while True:
            await transport.send(b"x" * 1_000_000)
    with pytest.raises(OSError):
        await transport.send(b"x")
    remote.close()


async def test_send_goes_on_while_the_reader_reads_slowly(nursery):
    """Guards against a reader that is cut off while the kernel reports no room in its buffer."""
    remote = socket.socket()
    remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        remote.connect(listener.getsockname())
        local, _ = listener.accept()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    transport = socket_transport.SocketTransport(sock=local, stall_seconds=0.5, least_rate=500.0)
    nursery.start_soon(transport.send, b"x" * 8_000_000)
    remote.setblocking(False)
    for _ in range(20):
        await trio.sleep(0.1)
        assert remote.recv(4000)
    nursery.cancel_scope.cancel()
    remote.close()


def connect_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return client, accepted


async def test_stop_finishes_open_answers_and_closes_their_connections():
    """Guards against a planned stop that cuts off a request in flight."""
    application = Streamer(part=b"y" * 10, part_count=200)
    async with run_server("h11", application) as running, await connect(running) as stream:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = await stream.receive_some(10)
        running.stop()
        received += await read_to_end(stream)
        with pytest.raises(OSError):
            await connect(running)
    assert received.count(b"y" * 10) == 200
    assert received.endswith(b"0\r\n\r\n")


async def test_stop_closes_idle_connections():
    """Guards against a stop that waits for callers with no request in progress."""
    async with run_server("h11", echo) as running, await connect(running) as stream:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in await stream.receive_some(1000)
        running.stop()
        assert await read_to_end(stream) == b""
