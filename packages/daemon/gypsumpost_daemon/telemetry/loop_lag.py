"""Measures how late the event loop of this process runs its tasks."""

import trio

from gypsumpost_daemon.telemetry.log import Log

CHECK_SECONDS = 0.1
WINDOW_SECONDS = 1.0
LOGGED_SECONDS = 0.2
"""Lateness from which on a window is logged: a connection is given up sooner than that."""

LOG = Log(prefix="loop")


class LoopLag:
    """Sleeps for short times and records by how much each sleep was too long.

    ``seconds`` is the greatest lateness of the last whole window, or of the present one if that is
    greater.
    """

    def __init__(self) -> None:
        self._last_window = 0.0
        self._window = 0.0

    @property
    def seconds(self) -> float:
        """Greatest lateness in seconds that was seen lately."""
        return max(self._last_window, self._window)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            window_ends_at = trio.current_time() + WINDOW_SECONDS
            self._last_window, self._window = self._window, 0.0
            while trio.current_time() < window_ends_at:
                due_at = trio.current_time() + CHECK_SECONDS
                await trio.sleep_until(due_at)
                self._window = max(self._window, trio.current_time() - due_at)
            if self._window >= LOGGED_SECONDS:
                LOG.write("tasks ran late", late_seconds=round(self._window, 3))
