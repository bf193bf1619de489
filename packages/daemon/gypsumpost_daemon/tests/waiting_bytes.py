"""Bytes that wait in the kernel on the connections to a server."""

import socket
import struct
from pathlib import Path

TABLE = Path("/proc/net/tcp")


def count_waiting_bytes(ip: str, port: int) -> int:
    """Return how many bytes wait to be read or sent at a server, both ways.

    :param ip: IPv4 address of the server.
    :param port: its port.
    """
    (number,) = struct.unpack("=I", socket.inet_aton(ip))
    server = f"{number:08X}:{port:04X}"
    total = 0
    for line in TABLE.read_text().splitlines()[1:]:
        _, local, remote, _, queues = line.split()[:5]
        if server in (local, remote):
            total += sum(int(queue, 16) for queue in queues.split(":"))
    return total
