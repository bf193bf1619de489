"""Tests of the choice of free ports."""

import socket
import subprocess
import sys

import pytest

from gypsumpost_bench import ports

RESERVE_AND_WAIT = """
import sys
from gypsumpost_bench.ports import reserve_addresses
print(*reserve_addresses(300), flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize("ip", ["127.0.0.1", "127.0.0.2"])
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_another_run_uses_is_passed_over(
    monkeypatch: pytest.MonkeyPatch, kind: socket.SocketKind, ip: str
) -> None:
    """Guards against hosts that cannot bind their gossip socket beside another run of the tests."""
    first = int(ports.reserve_addresses(1)[0].rpartition(":")[2])
    monkeypatch.setattr(ports, "_PORTS", iter(range(first, first + 1000)))
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((ip, first))
        assert ports.reserve_addresses(1) != [f"127.0.0.1:{first}"]


def test_processes_that_run_at_the_same_time_reserve_different_ports() -> None:
    """Guards against two runs of the tests that both give a port before either has bound it."""
    command = [sys.executable, "-c", RESERVE_AND_WAIT]
    processes = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(3)
    ]
    try:
        reserved = [process.stdout.readline().split() for process in processes if process.stdout]
    finally:
        for process in processes:
            process.communicate()
    assert [len(addresses) for addresses in reserved] == [300, 300, 300]
    assert len(set().union(*reserved)) == 900


def test_ports_are_given_again_when_all_have_been_given(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a long run that has no ports left."""
    monkeypatch.setattr(ports, "BLOCKS", 2)
    monkeypatch.setattr(ports, "_claim_block", lambda block: socket.socket(socket.AF_UNIX))
    given = ports._generate_ports(1)
    first, *others = (next(given) for _ in range(2 * ports.BLOCK_PORTS))
    assert first not in others
    assert next(given) == first
    given.close()
