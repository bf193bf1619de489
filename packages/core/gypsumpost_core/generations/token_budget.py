"""Retry budget that grows with first attempts."""

import attrs

from gypsumpost_core.smoothed_value import SmoothedValue

ROUNDING_TOLERANCE = 1e-9
"""Tolerance for floating-point sums: adding 0.1 ten times gives slightly less than 1."""


@attrs.define(kw_only=True)
class TokenBudget:
    """Token bucket for retries: each first attempt adds a fraction of a token, each retry uses one.

    The number of retries since the start never exceeds the burst plus the ratio times the number of
    first attempts, except for forced retries, which make the balance negative.

    :param ratio: tokens added by each first attempt.
    :param burst: initial number of tokens, and the minimum capacity of the bucket.
    :param window: seconds of first attempts whose tokens the bucket can hold beyond the burst.
    """

    ratio: float
    burst: float
    window: float
    tokens: float = attrs.field(init=False)
    _interval: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.01))
    _last_attempt_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self.tokens = self.burst

    def add_first_attempt(self, now: float) -> None:
        """Add the tokens of a first attempt, up to the capacity."""
        if self._last_attempt_at is not None:
            self._interval.observe(now - self._last_attempt_at)
        self._last_attempt_at = now
        self.tokens = min(self.tokens + self.ratio, self._compute_capacity())

    def has_token(self) -> bool:
        """Return true if at least one whole token is available."""
        return self.tokens >= 1 - ROUNDING_TOLERANCE

    def consume(self) -> None:
        """Use one token; the balance may become negative."""
        self.tokens -= 1

    def estimate_token_wait(self) -> float:
        """Return the expected seconds until a token is available."""
        missing = max(0.0, 1 - self.tokens)
        return missing / self.ratio * self._interval.mean

    def _compute_capacity(self) -> float:
        if not self._interval.count or self._interval.mean <= 0:
            return self.burst + self.ratio * self.window
        return self.burst + self.ratio * self.window / self._interval.mean
