"""Connection to one peer for requests of this daemon."""

import itertools
import time

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.peers.frame import Frame
from gypsumpost_daemon.peers.frame_decoder import FrameDecoder
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.telemetry.log import CLOCK, Log

RECEIVE_BYTES = 65536
MAX_QUEUED_FRAMES = 4096

LOG = Log(prefix="peer")


@attrs.define(kw_only=True)
class PendingReply:
    """A request that waits for its reply."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    payload: bytes | None = None


class PeerLink:
    """Owns one authenticated connection; requests are sent through a queue.

    :param host_id: the peer.
    :param stream: the connection after the handshake.
    """

    def __init__(self, *, host_id: str, stream: trio.abc.Stream) -> None:
        self._host_id = host_id
        self._stream = stream
        self._pending: dict[int, PendingReply] = {}
        self._correlations = itertools.count(1)
        self._sender, self._queue = trio.open_memory_channel[bytes](MAX_QUEUED_FRAMES)
        self.closed = False
        self._scope = trio.CancelScope()

    def stop(self) -> None:
        """Close the connection; pending requests fail."""
        self.closed = True
        self._scope.cancel()

    async def run(self) -> None:
        """Write queued frames and read replies until the connection ends."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_frames)
                    await self._read_replies()
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # A broken connection is reported to the pending requests below.
        finally:
            self.closed = True
            for pending in self._pending.values():
                pending.arrived.set()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def request(
        self, kind: int, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and wait for its reply.

        :param kind: message kind.
        :param payload: encoded message.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        correlation = next(self._correlations)
        pending = PendingReply()
        self._pending[correlation] = pending
        frame = Frame(
            kind=kind, correlation=correlation, clock=CLOCK.read(time.time()), payload=payload
        )
        try:
            self._sender.send_nowait(frame.encode())
            with trio.move_on_at(deadline):
                await pending.arrived.wait()
        except (trio.WouldBlock, trio.BrokenResourceError):
            return Err(PeerFailure(host_id=self._host_id, reason="queue is full", sent=False))
        finally:
            del self._pending[correlation]
        if pending.payload is None:
            reason = "connection lost" if self.closed else "no reply before the deadline"
            return Err(PeerFailure(host_id=self._host_id, reason=reason, sent=True))
        return Ok(pending.payload)

    async def _write_frames(self) -> None:
        async for first in self._queue:
            frames = [first]
            while self._queue.statistics().current_buffer_used:
                frames.append(self._queue.receive_nowait())
            await self._stream.send_all(b"".join(frames))

    async def _read_replies(self) -> None:
        decoder = FrameDecoder()
        while data := await self._stream.receive_some(RECEIVE_BYTES):
            try:
                frames = decoder.feed(data)
            except ValueError as error:
                LOG.write("closed a connection", peer=self._host_id, reason=str(error))
                return
            for frame in frames:
                CLOCK.observe(frame.clock)
                pending = self._pending.get(frame.correlation)
                if pending is not None:
                    pending.payload = frame.payload
                    pending.arrived.set()
