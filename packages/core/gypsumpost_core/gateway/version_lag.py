"""Measures for how long a host has known of a newer configuration that it has not applied."""

import math

import attrs

BELIEF_SECONDS = 1.6
"""How long a version that a peer has named is believed to exist: slightly more than two beacon
intervals of an idle host."""


@attrs.define(kw_only=True)
class VersionLag:
    """Compares the version in force with the newest one that a peer has named."""

    _newest_named: int = attrs.field(default=0, init=False)
    _behind_since: float = attrs.field(default=math.inf, init=False)
    _believed_until: float = attrs.field(default=-math.inf, init=False)

    def record_named(self, version: int, applied: int, now: float) -> None:
        """Record a version that a peer has in force.

        :param version: the peer's version.
        :param applied: version in force on this host.
        :param now: monotonic time in seconds.
        """
        if version > applied:
            self._newest_named = max(self._newest_named, version)
            self._behind_since = min(self._behind_since, now)
            self._believed_until = now + BELIEF_SECONDS

    def record_applied(self, version: int, now: float) -> float:
        """Record a version that is now in force; return for how many seconds a newer one was known.

        :param version: the version.
        :param now: monotonic time in seconds.
        """
        lag = self.compute(now)
        self._behind_since = now if version < self._newest_named else math.inf
        return lag

    def is_behind(self, now: float) -> bool:
        """Return true if some peer has a newer version in force, as far as is known.

        :param now: monotonic time in seconds.
        """
        return self._behind_since <= now < self._believed_until

    def compute(self, now: float) -> float:
        """Return for how many seconds a newer version has been known, 0 if none is.

        :param now: monotonic time in seconds.
        """
        return max(0.0, now - self._behind_since)
