"""Cancels streams on engines that are no longer needed."""

import attrs
import trio
from result import Ok

from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="engine")

CANCEL_SECONDS = 2.0
"""Timeout of one cancel request."""

RETRY_INTERVAL = 2.0
"""Seconds between cancel requests; a paused engine answers after it resumes."""

MAX_CANCEL_REQUESTS = 5
MAX_OPEN_REQUESTS = 1_000


@attrs.frozen(kw_only=True)
class StreamToCancel:
    """A stream that is no longer read.

    :param address: address of the engine.
    :param stream_id: id of the stream on the engine.
    """

    address: str
    stream_id: str


@attrs.define(kw_only=True)
class StreamCanceller:
    """Sends cancel requests in the background and retries them until the engine answers.

    Engines end unread streams by themselves after a grace period, so a cancel request that is never
    answered does little harm.

    :param engines: calls the engines.
    """

    engines: EngineClient
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)
    _open_requests: int = attrs.field(default=0, init=False)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the cancel requests until this task is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # When the daemon stops, generations may end after this task.
                self._nursery = None

    def cancel(self, address: str, stream_id: str) -> None:
        """Cancel a stream in the background.

        Does nothing if the canceller is not running or too many requests are open.

        :param address: address of the engine.
        :param stream_id: the stream.
        """
        if self._nursery is not None and address and self._open_requests < MAX_OPEN_REQUESTS:
            self._open_requests += 1
            stream = StreamToCancel(address=address, stream_id=stream_id)
            self._nursery.start_soon(self._call_engine, stream)

    async def _call_engine(self, stream: StreamToCancel) -> None:
        path = f"/v1/streams/{stream.stream_id}/cancel"
        for _ in range(MAX_CANCEL_REQUESTS):
            deadline = trio.current_time() + CANCEL_SECONDS
            outcome = await self.engines.post_json(stream.address, path, {}, deadline)
            if isinstance(outcome, Ok):
                break
            await trio.sleep(RETRY_INTERVAL)
        else:
            LOG.write(
                "cancel not answered, gave up", stream_id=stream.stream_id, address=stream.address
            )
        self._open_requests -= 1
