"""A TCP socket that is read and written without a task switch where possible."""

import contextlib
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Awaitable, Callable

import trio
from trio.lowlevel import wait_readable

from gypsumpost_core.memory.least_progress import LeastProgress
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.transport import RECEIVE_BYTES
from gypsumpost_daemon.http.unread_answer import count_unread

STALL_SECONDS = 10.0
FINISH_SECONDS = 1.0
FINISH_BYTES = 1 << 20
INTEGER_BYTES = 4
ABORT_ON_CLOSE = struct.pack("ii", 1, 0)


class SocketTransport:
    """Owns a connected non-blocking socket.

    trio's own sockets pass through the scheduler after each call. Here ``send`` returns without
    a task switch when all the data fits in the socket's send buffer, which is nearly always the
    case for the events of a generation.

    :param sock: the connected socket.
    :param stall_seconds: how long the other side may accept no data before ``send`` fails.
    :param least_rate: bytes a second, averaged over that time, that the other side must accept.
    :param guard: counts what the other side does not read, ``None`` to leave it out.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        stall_seconds: float = STALL_SECONDS,
        least_rate: float = 0.0,
        guard: OverloadGuard | None = None,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._stall_seconds = stall_seconds
        self._least_bytes = max(1.0, least_rate * stall_seconds)
        self._guard = guard
        self._receive_now = sock.recv
        self._send_now = sock.send
        self._closed = False
        self._first_receive = True

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Wait for data; an empty result means that the other side has finished sending.

        :param max_bytes: most bytes to return.
        """
        if self._closed:
            raise ConnectionAbortedError("the connection is closed")
        if self._first_receive:
            # The first request often arrives with its connection; reading it needs no task switch.
            self._first_receive = False
            with contextlib.suppress(BlockingIOError):
                return self._receive_now(max_bytes)
        while True:
            try:
                await wait_readable(self._socket)
            except trio.ClosedResourceError as error:
                raise ConnectionAbortedError("the connection was closed") from error
            try:
                return self._receive_now(max_bytes)
            except BlockingIOError:
                continue

    async def send(self, data: bytes) -> None:
        """Send all data.

        :param data: the bytes to send.
        :raises TimeoutError: if the other side accepts no data for ``stall_seconds``.
        """
        try:
            sent = self._send_now(data)
        except BlockingIOError:
            sent = 0
        if sent != len(data):
            await self._send_remaining(memoryview(data)[sent:])

    async def send_until_answered(self, data: bytes) -> bool:
        """Send data, but stop if the other side sends something before all data is sent.

        :param data: the bytes to send.
        :returns: false if it stopped; nothing more may be sent then.
        :raises TimeoutError: if the other side accepts no data for ``stall_seconds``.
        """
        try:
            sent = self._send_now(data)
        except BlockingIOError:
            sent = 0
        remaining = memoryview(data)[sent:]
        while remaining and not self.is_readable():
            with trio.move_on_at(trio.current_time() + self._stall_seconds) as scope:
                await self._wait_ready()
            if scope.cancelled_caught:
                raise TimeoutError("the other side does not read")
            with contextlib.suppress(BlockingIOError):
                remaining = remaining[self._send_now(remaining) :]
        return not remaining

    def is_readable(self) -> bool:
        """Return true if data, the end or an error can be read without waiting."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def finish(self) -> None:
        """Close after giving the other side time to read what was sent.

        Closing a socket with unread input resets the connection, and the other side may then lose
        an answer that it has not read yet.
        """
        with trio.move_on_at(trio.current_time() + FINISH_SECONDS):
            try:
                self._socket.shutdown(socket.SHUT_WR)
                await self._discard_input()
            except OSError:
                pass
        self.close()

    def close(self) -> None:
        """Close at once."""
        if not self._closed:
            self._closed = True
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def abort(self) -> None:
        """Reset the connection and discard data that is still in the send buffer."""
        if not self._closed:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
            self.close()

    async def _send_remaining(self, remaining: memoryview) -> None:
        try:
            with count_unread(self._guard, remaining.nbytes, self.abort) as holder:
                await self._send_with_progress(remaining, holder)
        except BaseException:
            # Another message cannot follow one that was only partly sent.
            self.abort()
            raise

    async def _send_with_progress(self, remaining: memoryview, holder: MemoryHolder | None) -> None:
        progress = LeastProgress(
            least=self._least_bytes, seconds=self._stall_seconds, now=trio.current_time()
        )
        unacknowledged = self._count_unacknowledged()
        while remaining:
            with trio.move_on_at(progress.deadline) as scope:
                await self._wait_writable()
            now = trio.current_time()
            if scope.cancelled_caught:
                # The kernel reports room only once a third of its buffer is free.
                passed = unacknowledged - self._count_unacknowledged()
                unacknowledged -= passed
                progress.record(passed, now)
                if progress.deadline > now:
                    continue
                if self._guard is not None:
                    self._guard.record_end(EndReason.SLOW_READER)
                raise TimeoutError("the other side does not read")
            try:
                sent = self._send_now(remaining)
            except BlockingIOError:
                continue
            remaining = remaining[sent:]
            unacknowledged = self._count_unacknowledged()
            progress.record(sent, now)
            if holder is not None:
                holder.record_progress(sent, now)

    def _count_unacknowledged(self) -> int:
        """Return the number of bytes in the send buffer, 0 where the system does not tell."""
        try:
            value = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(INTEGER_BYTES))
        except OSError:
            return 0
        return int.from_bytes(value, sys.byteorder)

    async def _wait_writable(self) -> None:
        if self._closed:
            raise ConnectionAbortedError("the connection is closed")
        try:
            await trio.lowlevel.wait_writable(self._socket)
        except trio.ClosedResourceError as error:
            raise ConnectionAbortedError("the connection was closed") from error

    async def _wait_ready(self) -> None:
        """Wait until the socket can be written or read."""
        async with trio.open_nursery() as nursery:

            async def wait(wait_for: Callable[[socket.socket], Awaitable[None]]) -> None:
                # The next call on the socket reports that it is closed.
                with contextlib.suppress(trio.ClosedResourceError):
                    await wait_for(self._socket)
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, trio.lowlevel.wait_writable)
            nursery.start_soon(wait, wait_readable)

    async def _discard_input(self) -> None:
        discarded = 0
        while discarded < FINISH_BYTES and (data := await self.receive()):
            discarded += len(data)
