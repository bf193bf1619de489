"""A budget that first attempts fill and retries use up."""

import attrs

from gypsumpost_core.smoothed_value import SmoothedValue

ROUNDING = 1e-9
"""Slack for sums of shares: ten tenths add up to a little less than 1."""


@attrs.define(kw_only=True)
class TokenBudget:
    """Tokens for retries: each first attempt adds a share of one, each retry takes one.

    The retries since the start never exceed the burst plus the ratio times the first attempts,
    apart from forced ones, which leave a debt.

    :param ratio: tokens that a first attempt adds.
    :param burst: tokens at the start, and the least limit on tokens.
    :param window: seconds of first attempts whose tokens are kept at most.
    """

    ratio: float
    burst: float
    window: float
    tokens: float = attrs.field(init=False)
    _interval: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.01))
    _last_first_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self.tokens = self.burst

    def add_first(self, now: float) -> None:
        """Note a first attempt."""
        if self._last_first_at is not None:
            self._interval.observe(now - self._last_first_at)
        self._last_first_at = now
        self.tokens = min(self.tokens + self.ratio, self._get_limit())

    def has_token(self) -> bool:
        """Return true if a whole token is left."""
        return self.tokens >= 1 - ROUNDING

    def take(self) -> None:
        """Use up a token, or go into debt."""
        self.tokens -= 1

    def expect_token_in(self) -> float:
        """Return the expected seconds until a token is there."""
        missing = max(0.0, 1 - self.tokens)
        return missing / self.ratio * self._interval.mean

    def _get_limit(self) -> float:
        if not self._interval.count or self._interval.mean <= 0:
            return self.burst + self.ratio * self.window
        return self.burst + self.ratio * self.window / self._interval.mean
