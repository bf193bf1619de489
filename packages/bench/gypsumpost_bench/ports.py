"""Free ports on the loopback interface."""

import socket


def reserve_addresses(count: int) -> list[str]:
    """Return addresses whose ports were free a moment ago, all different.

    :param count: number of addresses.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    finally:
        for each in sockets:
            each.close()
