"""Detection of TCP connections that have gone silent."""

import socket
from typing import Protocol

SILENCE_SECONDS = 2
"""A connection fails after this time without an acknowledgement. A change that was made meanwhile
has to be in force three seconds after all connections have gone silent."""

PROBE_SECONDS = 1
"""Interval of the probes on an idle connection; the kernel takes whole seconds."""

MILLISECONDS = 1000


class TcpSocket(Protocol):
    """A TCP socket of the standard library or of trio."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set a socket option."""
        ...


def enable_keep_alive(sock: TcpSocket) -> None:
    """Let a connection fail if the other side does not acknowledge anything for a while.

    Probes run on idle connections only, and the user timeout applies to unacknowledged data only.

    :param sock: the socket of the connection.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, (SILENCE_SECONDS - PROBE_SECONDS) // PROBE_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_SECONDS * MILLISECONDS)
