"""Lets a connection go silent without a reset."""

import ctypes
import socket
import struct
from typing import Protocol

SO_ATTACH_FILTER = 26
DROP_PACKET = struct.pack("HBBI", 0x06, 0, 0, 0)
"""Instruction of the kernel's packet filter that keeps 0 bytes of a packet."""


class FilteredSocket(Protocol):
    """A socket of the standard library or of trio."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set a socket option."""
        ...


def silence(sock: FilteredSocket) -> None:
    """Drop all that arrives at a socket from now on; the other side gets no acknowledgement.

    :param sock: the socket.
    """
    program = ctypes.create_string_buffer(DROP_PACKET)
    header = struct.pack("HP", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, header)
