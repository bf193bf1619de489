"""Many clients that send more than they may, or more slowly."""

import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager

import trio
import trio.testing

from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.tests.waiting_bytes import count_waiting_bytes

QUIET_SECONDS = 2.0
"""A server that reads and sends nothing for this long waits for the clients."""

SETTLE_SECONDS = 60.0
POLL_SECONDS = 0.05

Pieces = Callable[[], Iterator[bytes]]


class Crowd:
    """Clients that send the same pieces, read nothing and stay connected.

    :param address: ``ip:port`` of the server.
    :param pieces: returns what a client sends, in pieces.
    :param receive_buffer: size of a client's receive buffer in bytes, 0 for the usual one.
    """

    def __init__(self, *, address: str, pieces: Pieces, receive_buffer: int = 0) -> None:
        self._address = split_address(address)
        self._pieces = pieces
        self._receive_buffer = receive_buffer
        self._sending = 0
        self._sent_bytes = 0

    async def run_client(self) -> None:
        """Connect, send all pieces and stay connected until cancelled."""
        self._sending += 1
        with trio.socket.socket() as sock:
            try:
                if self._receive_buffer:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
                await sock.connect(self._address)
                await self._send(trio.SocketStream(sock))
            except (OSError, trio.BrokenResourceError):
                pass  # The server has closed the connection, which it may.
            finally:
                self._sending -= 1
            await trio.sleep_forever()

    async def _send(self, stream: trio.SocketStream) -> None:
        for piece in self._pieces():
            await stream.send_all(piece)
            self._sent_bytes += len(piece)

    async def settle(self) -> None:
        """Wait until the server and the clients wait for each other."""
        with trio.move_on_after(SETTLE_SECONDS):
            seen = (-1, -1)
            quiet_at = trio.current_time() + QUIET_SECONDS
            while trio.current_time() < quiet_at:
                progress = (self._sent_bytes, count_waiting_bytes(*self._address))
                if progress != seen:
                    seen = progress
                    quiet_at = trio.current_time() + QUIET_SECONDS
                await trio.sleep(POLL_SECONDS)


@asynccontextmanager
async def open_crowd(
    size: int, *, address: str, pieces: Pieces, receive_buffer: int = 0
) -> AsyncIterator[Crowd]:
    """Run a crowd until the end of the context, which closes its connections.

    :param size: number of clients.
    :param address: ``ip:port`` of the server.
    :param pieces: returns what a client sends, in pieces.
    :param receive_buffer: size of a client's receive buffer in bytes, 0 for the usual one.
    """
    crowd = Crowd(address=address, pieces=pieces, receive_buffer=receive_buffer)
    async with trio.open_nursery() as nursery:
        for _ in range(size):
            nursery.start_soon(crowd.run_client)
        await trio.testing.wait_all_tasks_blocked()
        yield crowd
        nursery.cancel_scope.cancel()
