"""Rate limit for loads of models from the weight store."""

import attrs


@attrs.define(kw_only=True)
class LoadBudget:
    """A token bucket, stored as the time at which it would be full again.

    :param interval: seconds between two loads.
    :param burst: loads that may start at once after a period without loads.
    :param now: monotonic time in seconds. The bucket starts with capacity for one load only, so
        that a change of the lease holder does not allow a new burst.
    """

    interval: float
    burst: int
    now: float
    _full_at: float = attrs.field(init=False)

    @_full_at.default
    def _start(self) -> float:
        return self.now + self.interval * (self.burst - 1)

    def may_load(self, now: float) -> bool:
        """Return true if a load may start now.

        :param now: monotonic time in seconds.
        """
        return self._full_at - now <= self.interval * (self.burst - 1)

    def consume(self, now: float) -> None:
        """Consume capacity for one load.

        :param now: monotonic time in seconds.
        """
        self._full_at = max(self._full_at, now) + self.interval
