"""Event rate over a short sliding window."""

import collections
import math

SLOT_SECONDS = 0.1
WINDOW_SLOTS = 30
"""A window of 3 s; shorter windows report noise at low rates as changes."""

RECENT_SLOTS = (2, 4, 10)
SIGNIFICANT_DEVIATIONS = 3.0
"""Only the most recent slots are used if they differ from the whole window by more than this many
standard deviations of Poisson arrivals. With the whole window alone, a shift of the entire demand
to another daemon was detected a second late."""


class RateMeter:
    """Counts events in time slots of ``SLOT_SECONDS``."""

    def __init__(self) -> None:
        self._slots: collections.deque[tuple[int, float]] = collections.deque()
        self._total = 0.0

    def add(self, count: float, now: float) -> None:
        """Count events.

        :param count: number of events.
        :param now: monotonic time in seconds.
        """
        slot = math.floor(now / SLOT_SECONDS)
        self._total += count
        if self._slots and self._slots[-1][0] == slot:
            count += self._slots.pop()[1]
        self._slots.append((slot, count))

    def compute_rate(self, now: float) -> float:
        """Return events per second; a significant change takes effect immediately.

        :param now: monotonic time in seconds.
        """
        slot = math.floor(now / SLOT_SECONDS)
        while self._slots and self._slots[0][0] <= slot - WINDOW_SLOTS:
            self._total -= self._slots.popleft()[1]
        # The current slot is incomplete.
        correction = now - slot * SLOT_SECONDS - SLOT_SECONDS
        rate = max(0.0, self._total) / (correction + WINDOW_SLOTS * SLOT_SECONDS)
        for slots in RECENT_SLOTS:
            seconds = correction + slots * SLOT_SECONDS
            recent = sum(count for number, count in self._slots if number > slot - slots)
            expected = rate * seconds
            if abs(recent - expected) > SIGNIFICANT_DEVIATIONS * math.sqrt(max(1.0, expected)):
                return recent / seconds
        return rate
