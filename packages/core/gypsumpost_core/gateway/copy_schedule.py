"""Decides when the copy of a running stream has to be made again.

The load pattern: the domains of a fleet fail one after the other. A stream whose copy was in a
domain that failed has none when its own domain fails next, and its prompt is prefilled again.
"""

import math

import attrs

from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet

RETRY_SECONDS = 0.5
"""Time after a failed move before the next one: when a domain is lost, many streams want a new copy
at the same moment, and the engines may have no room."""

RENEWAL_RATIO = 0.6
"""Share of the time for which an engine keeps a moved copy, after which the copy is renewed."""


@attrs.define(kw_only=True)
class CopySchedule:
    """Watches the holder of one stream's copy.

    :param fleet: the endpoints.
    :param keep_seconds: how long an engine keeps a copy that was moved to it.
    """

    fleet: EndpointFleet
    keep_seconds: float
    _renew_at: float | None = attrs.field(default=None, init=False)
    _retry_at: float = attrs.field(default=-math.inf, init=False)

    def record_move(self, now: float) -> None:
        """Record that the copy was moved to its holder.

        :param now: monotonic time in seconds.
        """
        self._renew_at = now + RENEWAL_RATIO * self.keep_seconds

    def record_failure(self, now: float) -> None:
        """Record that no copy was made.

        :param now: monotonic time in seconds.
        """
        self._retry_at = now + RETRY_SECONDS

    def is_holder_lost(self, copy: CopySource) -> bool:
        """Return true if the holder has failed, restarted or left.

        :param copy: the newest copy.
        """
        return self.fleet.find_running(copy.holder) is None

    def is_due(self, copy: CopySource | None, now: float) -> bool:
        """Return true if the copy has to be made, or made again.

        :param copy: the newest copy, ``None`` if no engine had room for one.
        :param now: monotonic time in seconds.
        """
        if now < self._retry_at:
            return False
        if copy is None or self.is_holder_lost(copy):
            return True
        return self._renew_at is not None and now >= self._renew_at
