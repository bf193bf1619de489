"""Tests of calls to services whose answers break off during the upload or have no valid status."""

import functools
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import orjson
import pytest
import trio

from gypsumpost_bench.call_cluster import CallCluster
from gypsumpost_daemon.callers.caller_response import CallerResponse

LONG_BODY = b"x" * (1 << 23)
FRAMINGS = {
    "no length": b"\r\n",
    "length": b"Content-Length: 1000\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n400\r\n",
}


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> AsyncIterator[CallCluster]:
    started = CallCluster(domains=("d1",), service_count=1)
    await started.start(nursery)
    yield started
    nursery.cancel_scope.cancel()


async def call_endpoint(
    cluster: CallCluster, serve: Callable[[trio.SocketStream], Awaitable[None]], body: bytes
) -> CallerResponse:
    """Return the answer to a call.

    :param cluster: the daemon that gets the call.
    :param serve: serves the connections of the endpoint; a first one may be a probe.
    :param body: the body of the call.
    """
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
        )
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        cluster.endpoints[:] = [attrs.evolve(cluster.endpoints[0], address=address)]
        cluster.body = body
        response = await cluster.call(0, x_call_id="c")
        nursery.cancel_scope.cancel()
    return response


def check_lost(response: CallerResponse) -> None:
    """Check that an answer says that nothing is known of the run."""
    assert response.status == 502
    assert orjson.loads(response.body)["error"]["run_state"] == "unknown"


def reset(stream: trio.SocketStream) -> None:
    """Reset a connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


@pytest.mark.parametrize("read_bytes", [1, 1 << 20])
@pytest.mark.parametrize("pause", [0.0, 0.02])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_answer_that_is_reset_during_the_upload_is_not_complete(
    cluster: CallCluster, framing: str, pause: float, read_bytes: int
) -> None:
    """Guards against part of an answer that looks whole as an error of the upload hid its end."""

    async def answer_early(stream: trio.SocketStream) -> None:
        if not await stream.receive_some(read_bytes):
            return  # A probe of whether the endpoint lives.
        await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Call-Id: c\r\n" + FRAMINGS[framing] + b"ha")
        await trio.sleep(pause)
        reset(stream)

    check_lost(await call_endpoint(cluster, answer_early, LONG_BODY))


@pytest.mark.parametrize("status", [0, 1, 42, 99])
async def test_a_status_that_is_none_is_a_broken_answer(cluster: CallCluster, status: int) -> None:
    """Guards against an answer with a status of 000 that a caller gets as its answer."""

    async def answer(stream: trio.SocketStream) -> None:
        if await stream.receive_some(65536):
            head = b"HTTP/1.1 %03d OK\r\nX-Call-Id: c\r\nContent-Length: 4\r\n\r\nhalf"
            await stream.send_all(head % status)

    check_lost(await call_endpoint(cluster, answer, b"{}"))
