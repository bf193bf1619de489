"""Tests of a host that is late itself."""

import socket
import time

import pytest
import trio
from result import Ok

from gypsumpost_daemon.engines.endpoint_probe import ProbeResult, probe_endpoint
from gypsumpost_daemon.engines.h11_engine_connection import connect

CONNECT_SECONDS = 0.08
BLOCKED_SECONDS = 0.3


@pytest.fixture
def address():
    """Return the address of a listener that accepts connections in its queue."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def hold_loop() -> None:
    time.sleep(BLOCKED_SECONDS)


async def test_a_connection_that_was_made_in_time_is_used_by_a_late_host(address):
    """Guards against sound endpoints that are taken for lost because this host is late."""
    for _ in range(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_loop)
            opened = await connect(address, trio.current_time() + CONNECT_SECONDS)
        assert isinstance(opened, Ok)
        opened.ok_value.close()


async def test_a_probe_by_a_late_host_finds_a_sound_endpoint_alive(address):
    """Guards against the same in the probe that decides on a loss."""
    for _ in range(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_loop)
            assert await probe_endpoint(address) is ProbeResult.ALIVE
