"""Measures a rate over a short window."""

import collections
import math

SLOT_SECONDS = 0.1
WINDOW_SLOTS = 10
"""A window of one second: shorter ones report the noise of small rates as changes."""


class RateMeter:
    """Counts events in slots."""

    def __init__(self) -> None:
        self._slots: collections.deque[tuple[int, float]] = collections.deque()
        self._total = 0.0

    def add(self, count: float, now: float) -> None:
        """Count events.

        :param count: number of events.
        :param now: process time in seconds.
        """
        slot = math.floor(now / SLOT_SECONDS)
        self._total += count
        if self._slots and self._slots[-1][0] == slot:
            count += self._slots.pop()[1]
        self._slots.append((slot, count))

    def compute_rate(self, now: float) -> float:
        """Return events per second.

        :param now: process time in seconds.
        """
        oldest = math.floor(now / SLOT_SECONDS) - WINDOW_SLOTS
        while self._slots and self._slots[0][0] <= oldest:
            self._total -= self._slots.popleft()[1]
        return max(0.0, self._total) / (SLOT_SECONDS * WINDOW_SLOTS) if self._slots else 0.0
