"""Transport over TLS."""

import trio

from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.socket_transport import FINISH_SECONDS, STALL_SECONDS
from gypsumpost_daemon.http.transport import RECEIVE_BYTES
from gypsumpost_daemon.http.unread_answer import count_unread

CHUNK_BYTES = 16384
"""A record of TLS; the other side has to read one within ``stall_seconds``."""


class StreamTransport:
    """Adapts a trio TLS stream to :class:`Transport`.

    :param stream: the connected stream.
    :param stall_seconds: how long the other side may take for a chunk before ``send`` fails.
    :param guard: counts what the other side does not read, ``None`` to leave it out.
    """

    def __init__(
        self,
        *,
        stream: trio.SSLStream,
        stall_seconds: float = STALL_SECONDS,
        guard: OverloadGuard | None = None,
    ) -> None:
        self._stream = stream
        self._stall_seconds = stall_seconds
        self._guard = guard

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Wait for data; an empty result means that the other side has finished sending.

        :param max_bytes: most bytes to return.
        """
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionAbortedError(str(error)) from error

    async def send(self, data: bytes) -> None:
        """Send all data, or raise ``TimeoutError`` if the other side accepts none for too long.

        :param data: the bytes to send.
        """
        with count_unread(self._guard, len(data), self.close) as holder:
            for start in range(0, len(data), CHUNK_BYTES):
                with trio.move_on_at(trio.current_time() + self._stall_seconds) as scope:
                    await self._send_chunk(data[start : start + CHUNK_BYTES])
                if scope.cancelled_caught:
                    raise TimeoutError("the other side does not read")
                if holder is not None:
                    holder.record_progress(CHUNK_BYTES, trio.current_time())

    async def finish(self) -> None:
        """Close after sending the ``close_notify`` alert of TLS."""
        with trio.move_on_at(trio.current_time() + FINISH_SECONDS):
            await self._stream.aclose()
        self.close()

    def close(self) -> None:
        """Close at once."""
        transport = self._stream.transport_stream
        transport.socket.close()

    async def _send_chunk(self, chunk: bytes) -> None:
        try:
            await self._stream.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionAbortedError(str(error)) from error
