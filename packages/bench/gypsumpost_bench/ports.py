"""Free ports on the loopback interface."""

import os
import socket
from collections.abc import Generator

FIRST_PORT = 15_000
LAST_PORT = 32_000
"""The range ends below the kernel's ephemeral ports, so that an outgoing connection cannot take the
port of a process that is being restarted."""

BLOCK_PORTS = 100
"""Ports that a process claims at once."""

BLOCKS = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS


def reserve_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses whose ports were free when checked, TCP and UDP.

    No other process that calls this gets one of these ports while this process lives.

    :param count: number of addresses.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = next(_PORTS)
        if _is_free(port):
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def _generate_ports(first_block: int) -> Generator[int, None, None]:
    """Yield the ports of all blocks that this process can claim, over and over.

    :param first_block: block to begin with.
    """
    claims: dict[int, socket.socket] = {}
    try:
        while True:
            for number in range(BLOCKS):
                block = (first_block + number) % BLOCKS
                claim = claims.get(block) or _claim_block(block)
                if claim is not None:
                    claims[block] = claim
                    first_port = FIRST_PORT + block * BLOCK_PORTS
                    yield from range(first_port, first_port + BLOCK_PORTS)
            if not claims:
                raise OSError("all ports are claimed by other processes")
    finally:
        for claim in claims.values():
            claim.close()


def _claim_block(block: int) -> socket.socket | None:
    """Claim a block until the process ends; ``None`` if another process has claimed it.

    An abstract address belongs to one process, and to the network namespace like the ports.
    """
    claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        claim.bind(f"\0gypsumpost-ports-{block}")
    except OSError:
        claim.close()
        return None
    return claim


def _is_free(port: int) -> bool:
    return all(_can_bind(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    """Return true if no socket uses a port on any address, as hosts have addresses of their own."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True


_PORTS = _generate_ports(os.getpid() % BLOCKS)
