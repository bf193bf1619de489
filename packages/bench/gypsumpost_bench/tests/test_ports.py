"""Tests of the choice of free ports."""

import socket

import pytest

from gypsumpost_bench import ports


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_another_run_uses_is_passed_over(
    monkeypatch: pytest.MonkeyPatch, kind: socket.SocketKind
) -> None:
    """Guards against hosts that cannot bind their gossip socket beside another run of the tests."""
    first = int(ports.reserve_addresses(1)[0].rpartition(":")[2])
    monkeypatch.setattr(ports, "_choose_port", lambda number: first + number)
    monkeypatch.setattr(ports, "_COUNTER", iter(range(1000)))
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(("127.0.0.1", first))
        assert ports.reserve_addresses(1) != [f"127.0.0.1:{first}"]
