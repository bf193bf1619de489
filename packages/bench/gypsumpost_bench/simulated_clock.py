"""A simulated clock that runs events in time order."""

import heapq
from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class SimulatedClock:
    """Runs callbacks at simulated times.

    :param now: simulated time in seconds.
    """

    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: int = 0

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a callback at a simulated time in seconds; a time in the past counts as now."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, callback))

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback at the current time and every ``interval`` seconds after it."""

        def run() -> None:
            callback()
            self.call_at(self.now + interval, run)

        self.call_at(self.now, run)

    def run_until(self, end: float) -> None:
        """Run all events up to a simulated time, which becomes the current time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
