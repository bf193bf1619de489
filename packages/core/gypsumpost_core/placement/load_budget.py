"""How many loads the weight store bears."""

import attrs


@attrs.define(kw_only=True)
class LoadBudget:
    """A token bucket that is kept as one stored deadline.

    :param interval: seconds between two loads.
    :param burst: loads that may begin at once after a quiet time.
    :param now: process time in seconds; the bucket starts with room for one load, so that a
        change of the holder does not begin a new burst.
    """

    interval: float
    burst: int
    now: float
    _empty_until: float = attrs.field(init=False)

    @_empty_until.default
    def _start(self) -> float:
        return self.now + self.interval * (self.burst - 1)

    def may_load(self, now: float) -> bool:
        """Return true if a load may begin.

        :param now: process time in seconds.
        """
        return self._empty_until - now <= self.interval * (self.burst - 1)

    def take(self, now: float) -> None:
        """Note that a load begins.

        :param now: process time in seconds.
        """
        self._empty_until = max(self._empty_until, now) + self.interval
