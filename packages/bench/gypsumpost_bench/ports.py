"""Free ports on the loopback interface."""

import itertools
import os
import socket

FIRST_PORT = 15_000
LAST_PORT = 32_000
"""The range ends below the kernel's ephemeral ports, so that an outgoing connection cannot take the
port of a process that is being restarted."""

BLOCK_PORTS = 100
"""Each process starts in a block of its own, so that concurrent runs use different ports."""

_COUNTER = itertools.count()


def reserve_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses whose ports were free when checked, TCP and UDP.

    :param count: number of addresses.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = _choose_port(next(_COUNTER))
        if _is_free(port):
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def _choose_port(number: int) -> int:
    return FIRST_PORT + (os.getpid() * BLOCK_PORTS + number) % (LAST_PORT - FIRST_PORT)


def _is_free(port: int) -> bool:
    return all(_can_bind(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
