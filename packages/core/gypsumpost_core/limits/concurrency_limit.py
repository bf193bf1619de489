"""Adaptive limit on generations in flight."""

import attrs

LATE_SHARE = 0.05
"""Tolerated fraction of late first tokens: the target is 95% on time."""

DECREASE = 0.1
"""Fraction by which the limit is reduced if all first tokens are late.

Each reduction blocks new starts until as many generations have ended, so its size is proportional
to the fraction of late tokens. With reductions of a fixed 10%, a workspace with low load waited
1.6 s for a start at the 90th percentile in the admission experiment.
"""

INCREASE = 0.01
"""Added to the factor when the limit is reached and first tokens are on time."""

ADAPTATION_INTERVAL = 1.0
"""Minimum seconds between changes, so that one burst of late tokens counts once."""

LOWEST_FACTOR = 0.25
HIGHEST_FACTOR = 2.0


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """This daemon's share of the live engines' batch slots, adjusted by time to first token.

    The share is only an estimate, because daemons receive unequal load. Late first tokens indicate
    queueing in the engines and reduce the limit.

    :param first_token_target: target for the time to first token, in seconds.
    :param capacity: this daemon's share of the batch slots of the live engines.
    """

    first_token_target: float = 0.42
    capacity: float = 32.0
    _factor: float = 1.0
    _first_tokens: int = 0
    _late: int = 0
    _changed_at: float = float("-inf")

    def get_limit(self) -> int:
        """Return the maximum number of generations in flight, at least 1."""
        return max(1, int(self.capacity * self._factor))

    def observe_first_token(self, wait: float, in_flight: int, now: float) -> None:
        """Adapt the limit to a time to first token.

        :param wait: seconds from sending to the first token.
        :param in_flight: generations in flight.
        :param now: monotonic time in seconds.
        """
        self._first_tokens += 1
        self._late += wait > self.first_token_target
        if now - self._changed_at < ADAPTATION_INTERVAL:
            return
        late_share = self._late / self._first_tokens
        if late_share > LATE_SHARE:
            self._change(max(LOWEST_FACTOR, self._factor * (1 - DECREASE * late_share)), now)
        elif in_flight >= self.get_limit():
            self._change(min(HIGHEST_FACTOR, self._factor + INCREASE), now)

    def _change(self, factor: float, now: float) -> None:
        self._factor = factor
        self._changed_at = now
        self._first_tokens = 0
        self._late = 0
