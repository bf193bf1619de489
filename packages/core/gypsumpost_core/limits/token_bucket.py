"""A token bucket whose level can become negative."""

import math


class TokenBucket:
    """Fills at a rate up to a capacity.

    :param burst_seconds: capacity, as seconds of filling at the rate.
    :param minimum_capacity: lower bound of the capacity and initial level.
    :param now: monotonic time in seconds.
    """

    def __init__(self, *, burst_seconds: float, minimum_capacity: float, now: float) -> None:
        self._burst_seconds = burst_seconds
        self._minimum = minimum_capacity
        self._rate = 0.0
        self._level = minimum_capacity
        self._updated = now
        self._is_new = True

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; units above the new capacity are discarded.

        :param rate: units per second.
        :param now: monotonic time in seconds.
        """
        self._accrue(now)
        self._rate = rate
        self._level = min(self._level, self._compute_capacity())

    def set_minimum(self, capacity: float) -> None:
        """Change the lower bound of the capacity; the first call also adjusts the initial level.

        :param capacity: the capacity of the bucket at low rates.
        """
        if self._is_new:
            self._level += capacity - self._minimum
            self._is_new = False
        self._minimum = capacity

    def take(self, count: float, now: float) -> None:
        """Remove units; the level may become negative.

        :param count: number of units.
        :param now: monotonic time in seconds.
        """
        self._accrue(now)
        self._level -= count

    def compute_wait(self, level: float, now: float) -> float:
        """Return the seconds until the bucket reaches a level, infinite at a rate of 0.

        :param level: the level.
        :param now: monotonic time in seconds.
        """
        self._accrue(now)
        missing = level - self._level
        if missing <= 1e-9:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def _accrue(self, now: float) -> None:
        gained = max(0.0, now - self._updated) * self._rate
        self._level = min(self._level + gained, max(self._level, self._compute_capacity()))
        self._updated = max(self._updated, now)

    def _compute_capacity(self) -> float:
        return max(self._minimum, self._rate * self._burst_seconds)
