"""Tells how long ago the store has confirmed that no newer configuration exists.

The load pattern: a process is frozen, slow or cut off, or its watch is lost, while a configuration
changes, and its callers reach it before the change does.
"""

import math

import attrs

CONFIRMED_SECONDS = 1.6
"""How long a confirmation suffices to refuse a request for good. It is less than the two seconds
within which a configuration has to be in force, by the time that a beacon may be on its way."""


@attrs.define(kw_only=True)
class StoreConfirmation:
    """Records the latest moment for which the version in force is known to be the newest.

    A peer may confirm a version before it is in force on this host; that counts once it is.
    """

    _confirmed_at: float = attrs.field(default=-math.inf, init=False)
    _awaited_version: int = attrs.field(default=0, init=False)
    _awaited_at: float = attrs.field(default=-math.inf, init=False)

    def record(self, version: int, confirmed_at: float, *, applied: int) -> None:
        """Record that the store had no newer version than this one at some moment.

        :param version: the version.
        :param confirmed_at: the moment, as monotonic time in seconds.
        :param applied: version in force on this host.
        """
        if version <= applied:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        elif version > self._awaited_version:
            self._awaited_version, self._awaited_at = version, confirmed_at
        elif version == self._awaited_version:
            self._awaited_at = max(self._awaited_at, confirmed_at)

    def record_applied(self, version: int) -> None:
        """Record the version that is now in force on this host.

        :param version: the version.
        """
        if version >= self._awaited_version:
            self._confirmed_at = max(self._confirmed_at, self._awaited_at)

    def compute_age(self, now: float) -> float:
        """Return the age of the last confirmation in seconds, infinity if there is none.

        :param now: monotonic time in seconds.
        """
        return now - self._confirmed_at

    def is_recent(self, now: float) -> bool:
        """Return true if the version in force is recent enough to refuse a request for good.

        :param now: monotonic time in seconds.
        """
        return self.compute_age(now) <= CONFIRMED_SECONDS
