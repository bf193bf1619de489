"""Cancels engine streams of older attempts."""

import attrs
import trio
from result import Ok

from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="engine")

CANCEL_SECONDS = 2.0
"""Longest wait for one cancel call."""

RETRY_AFTER = 2.0
"""Seconds between cancel calls; a paused engine answers when it wakes."""

CANCEL_TRIES = 5
QUEUE_LENGTH = 1_000


@attrs.frozen(kw_only=True)
class StreamToCancel:
    """A stream that nobody reads any more."""

    address: str
    stream_id: str


@attrs.define(kw_only=True)
class StreamCanceller:
    """Repeats cancel calls in the background until the engine answers.

    An engine ends unread streams itself after a grace period, so giving up costs little.

    :param engines: calls the engines.
    """

    engines: EngineClient
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _open: int = attrs.field(default=0, init=False)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Carry the cancel calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # Generations that end with the daemon may come later than this task's end.
                self._nursery = None

    def cancel(self, address: str, stream_id: str) -> None:
        """Cancel a stream.

        :param address: address of the engine.
        :param stream_id: the stream.
        """
        if self._nursery is not None and address and self._open < QUEUE_LENGTH:
            self._open += 1
            stream = StreamToCancel(address=address, stream_id=stream_id)
            self._nursery.start_soon(self._call_engine, stream)

    async def _call_engine(self, stream: StreamToCancel) -> None:
        path = f"/v1/streams/{stream.stream_id}/cancel"
        for _ in range(CANCEL_TRIES):
            deadline = trio.current_time() + CANCEL_SECONDS
            outcome = await self.engines.post_json(stream.address, path, {}, deadline)
            if isinstance(outcome, Ok):
                break
            await trio.sleep(RETRY_AFTER)
        else:
            LOG.write("gave up a cancel", stream_id=stream.stream_id, address=stream.address)
        self._open -= 1
