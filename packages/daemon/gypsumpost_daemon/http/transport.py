"""Interface of the byte stream that carries HTTP."""

from typing import Protocol

RECEIVE_BYTES = 65536


class Transport(Protocol):
    """A connected byte stream; every failure is raised as an ``OSError``."""

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Wait for data; an empty result means that the other side has finished sending.

        :param max_bytes: most bytes to return.
        """

    async def send(self, data: bytes) -> None:
        """Send all data, or raise ``TimeoutError`` if the other side accepts none for too long."""

    async def finish(self) -> None:
        """Close after giving the other side time to read what was sent."""

    def close(self) -> None:
        """Close at once."""
