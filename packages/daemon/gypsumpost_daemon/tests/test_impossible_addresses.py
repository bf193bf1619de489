"""Tests of connections to addresses that no endpoint can have."""

import errno
import socket

import pytest
import trio
from result import Err

from gypsumpost_daemon.engines.endpoint_probe import ProbeResult, probe_endpoint
from gypsumpost_daemon.engines.h11_engine_connection import connect


@pytest.mark.parametrize(
    "address", ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:\u00b2", "a\x00b:80", "nowhere", ""]
)
async def test_a_connection_to_an_impossible_address_fails(address):
    """Guards against an address in a list that ends the task, or the process, that uses it."""
    opened = await connect(address, trio.current_time() + 1)
    assert isinstance(opened, Err) and not opened.err_value.may_have_run
    assert await probe_endpoint(address) is ProbeResult.SILENT


async def test_a_connection_without_a_free_descriptor_fails(monkeypatch):
    """Guards against a process that ends when it probes an endpoint without a free descriptor.

    With 1,500 idle callers at a host with 1,438 descriptors it ended with OSError 24 (LOST).
    """

    def fail(*arguments):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(socket, "socket", fail)
    connected = await connect("127.0.0.1:1", trio.current_time() + 1.0)
    assert isinstance(connected, Err)
    assert not connected.err_value.may_have_run and not connected.err_value.refused
    # The endpoint must not count as lost.
    assert await probe_endpoint("127.0.0.1:1") is ProbeResult.NOT_TRIED
