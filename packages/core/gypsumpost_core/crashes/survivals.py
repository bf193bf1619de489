"""Counts the requests that did not crash their endpoint."""

import math
from collections import OrderedDict

import attrs

from gypsumpost_core.crashes.crash_key import CrashKey

DECAY_SECONDS = 30.0
"""A part may begin to crash endpoints at any time; older survivals count less and less."""

MAX_KEYS = 8192


@attrs.frozen(kw_only=True)
class Survival:
    """The survivals of one possible cause.

    :param count: number of survivals, with less weight for older ones.
    :param at: monotonic time in seconds of the last one.
    """

    count: float
    at: float

    def decay(self, now: float) -> float:
        """Return the count as of ``now``, a monotonic time in seconds."""
        return self.count * math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)


NO_SURVIVAL = Survival(count=0.0, at=float("-inf"))


@attrs.define(kw_only=True)
class Survivals:
    """The survivals by possible cause; those unused for longest are dropped first."""

    _survivals: OrderedDict[CrashKey, Survival] = attrs.field(factory=OrderedDict, init=False)

    def get(self, key: CrashKey) -> Survival:
        """Return the survivals of a possible cause, ``NO_SURVIVAL`` if none is known."""
        return self._survivals.get(key, NO_SURVIVAL)

    def add(self, key: CrashKey, now: float) -> None:
        """Count a survival that this host has seen.

        :param key: the possible cause.
        :param now: monotonic time in seconds.
        """
        self._put(key, Survival(count=self.get(key).decay(now) + 1, at=now))

    def merge(self, key: CrashKey, count: float, at: float) -> None:
        """Apply the survivals that a peer has counted.

        :param key: the possible cause.
        :param count: number of survivals.
        :param at: monotonic time in seconds of the last one.
        """
        known = self.get(key)
        latest = max(at, known.at)
        merged = max(known.decay(latest), Survival(count=count, at=at).decay(latest))
        self._put(key, Survival(count=merged, at=latest))

    def _put(self, key: CrashKey, survival: Survival) -> None:
        self._survivals[key] = survival
        self._survivals.move_to_end(key)
        if len(self._survivals) > MAX_KEYS:
            self._survivals.popitem(last=False)
