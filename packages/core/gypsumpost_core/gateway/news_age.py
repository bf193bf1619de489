"""Tells whether a host may have missed changes, because nothing has reached it lately.

The load pattern: a process is frozen or a host is cut off while a configuration changes, and its
callers reach it before the store or a peer does.
"""

import math

import attrs

NEWS_SECONDS = 2.0
"""Time without news after which a host does not know whether it has missed a change: slightly more
than two beacon intervals of an idle host, and than two checks of an open watch."""


@attrs.define(kw_only=True)
class NewsAge:
    """Records when the store or a peer has last told this host what is in force."""

    _heard_at: float = attrs.field(default=-math.inf, init=False)

    def record(self, now: float) -> None:
        """Record that the store or a peer would have told of a change.

        :param now: monotonic time in seconds.
        """
        self._heard_at = now

    def is_stale(self, now: float) -> bool:
        """Return true if a change may have been missed.

        :param now: monotonic time in seconds.
        """
        return now > self._heard_at + NEWS_SECONDS

    def compute(self, now: float) -> float:
        """Return the time since the last news in seconds, infinity before the first.

        :param now: monotonic time in seconds.
        """
        return now - self._heard_at
