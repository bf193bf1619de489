"""Decides from when a host that has started may use the directory that it has loaded.

The load pattern: hosts are killed together while the store is away, and get the directory from
peers. A peer that was cut off may send a list in which an endpoint that has left, or a key that was
withdrawn, still stands. The other peers name their newer version in their next beacon.
"""

import math

import attrs

SETTLE_SECONDS = 0.9
"""Time in which every live host of a domain sends a beacon: a little more than the interval of an
idle host."""


@attrs.define(kw_only=True)
class FirstUse:
    """Tracks the source of the first directory of a host."""

    _usable_at: float = attrs.field(default=math.inf, init=False)

    def record_load(self, now: float, *, from_store: bool) -> None:
        """Record that the directory is complete.

        :param now: monotonic time in seconds.
        :param from_store: true if the store has sent it; false for a peer.
        """
        usable_at = now if from_store else now + SETTLE_SECONDS
        self._usable_at = min(self._usable_at, usable_at)

    def is_usable(self, now: float) -> bool:
        """Return true if requests may be served by the directory.

        :param now: monotonic time in seconds.
        """
        return now >= self._usable_at
