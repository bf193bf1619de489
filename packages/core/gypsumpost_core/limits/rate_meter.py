"""Measures a rate over a short window."""

import collections
import math

SLOT_SECONDS = 0.1
WINDOW_SLOTS = 30
"""A window of three seconds: shorter ones report the noise of small rates as changes."""

RECENT_SLOTS = (2, 4, 10)
SIGNIFICANT_DEVIATIONS = 3.0
"""The last slots alone count when they differ from the window by so many standard deviations of
Poisson arrivals. With the window alone, a move of the whole demand was seen a second late."""


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
        """Return events per second; a significant change counts at once.

        :param now: process time in seconds.
        """
        slot = math.floor(now / SLOT_SECONDS)
        while self._slots and self._slots[0][0] <= slot - WINDOW_SLOTS:
            self._total -= self._slots.popleft()[1]
        # The current slot has only begun.
        begun = now - slot * SLOT_SECONDS - SLOT_SECONDS
        rate = max(0.0, self._total) / (begun + WINDOW_SLOTS * SLOT_SECONDS)
        for slots in RECENT_SLOTS:
            seconds = begun + slots * SLOT_SECONDS
            recent = sum(count for number, count in self._slots if number > slot - slots)
            expected = rate * seconds
            if abs(recent - expected) > SIGNIFICANT_DEVIATIONS * math.sqrt(max(1.0, expected)):
                return recent / seconds
        return rate
