"""Free ports on the loopback interface."""

import random
import socket

FIRST_PORT = 15_000
LAST_PORT = 32_000
"""Below the range from which the kernel takes ports of outgoing connections, so that a process can
be started again under its address after another connection was opened."""


def reserve_addresses(count: int) -> list[str]:
    """Return addresses whose ports were free a moment ago, all different.

    :param count: number of addresses.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            sockets += _bind_port(random.randrange(FIRST_PORT, LAST_PORT))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    finally:
        for each in sockets:
            each.close()


def _bind_port(port: int) -> list[socket.socket]:
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return []
    return [bound]
