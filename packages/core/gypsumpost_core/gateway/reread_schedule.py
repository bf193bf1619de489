"""Decides when an item that arrived damaged is read again.

The load pattern: the answers of the store, or the way to it, damage an item several times in a row,
and no peer has it.
"""

import math

import attrs

from gypsumpost_core.gateway.store_position import StorePosition

FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 8.0
"""The item may be as its writer has written it; then each read of it is in vain."""


@attrs.define(kw_only=True)
class RereadSchedule:
    """Plans the reads of an item with growing pauses, anew for each write."""

    _position: StorePosition = attrs.field(factory=StorePosition, init=False)
    _pause: float = attrs.field(default=FIRST_PAUSE_SECONDS, init=False)
    _due_at: float = attrs.field(default=math.inf, init=False)

    def take_due(self, position: StorePosition, now: float) -> bool:
        """Return true if the item is to be read again now, and plan the next read.

        :param position: the write that arrived damaged.
        :param now: monotonic time in seconds.
        """
        if position != self._position:
            self._position, self._pause = position, FIRST_PAUSE_SECONDS
            self._due_at = now + self._pause
        if now < self._due_at:
            return False
        self._pause = min(2 * self._pause, LONGEST_PAUSE_SECONDS)
        self._due_at = now + self._pause
        return True
