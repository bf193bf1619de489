"""Rate limits on retries and continuations."""

import random

import attrs

from gypsumpost_core.generations.retry_decision import RetryDecision
from gypsumpost_core.generations.token_budget import TokenBudget

MAX_REMEMBERED_LOSSES = 64
"""Maximum number of lost engines remembered for each failure domain."""


@attrs.frozen(kw_only=True)
class RetrySettings:
    """Settings of the retry budget.

    :param ratio: allowed retries per first attempt.
    :param burst: retries allowed before any first attempt.
    :param window: window in seconds for counting first attempts and lost engines.
    :param backoff: maximum backoff in seconds before the first retry; doubles with each attempt.
    :param backoff_limit: upper limit of the backoff in seconds.
    :param continuation_reserve: fraction of the budget reserved for continuations.
    """

    ratio: float = 0.1
    burst: float = 3.0
    window: float = 60.0
    backoff: float = 0.1
    backoff_limit: float = 5.0
    continuation_reserve: float = 0.5


@attrs.define(kw_only=True)
class RetryBudget:
    """Budgets of this daemon and of each failure domain; a retry takes a token from both.

    Retries are also limited to the part of the daemon's budget that is not reserved for
    continuations. A retry is charged to the domain whose endpoint failed. A lost domain receives
    no first attempts, so its budget is not refilled.

    :param rng: random number generator for the jitter.
    :param settings: settings of the budgets.
    """

    rng: random.Random
    settings: RetrySettings = attrs.field(factory=RetrySettings)
    _daemon_budget: TokenBudget = attrs.field(init=False)
    _retry_budget: TokenBudget = attrs.field(init=False)
    _domain_budgets: dict[str, TokenBudget] = attrs.field(factory=dict)
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._daemon_budget = self._create_budget(1.0)
        self._retry_budget = self._create_budget(1 - self.settings.continuation_reserve)

    def record_first_attempt(self, domain: str, now: float) -> None:
        """Record a first attempt, which adds to the budgets.

        :param domain: failure domain of the endpoint that received it.
        :param now: monotonic time in seconds.
        """
        self._daemon_budget.add_first_attempt(now)
        self._retry_budget.add_first_attempt(now)
        self._get_domain_budget(domain).add_first_attempt(now)

    def decide_retry(self, domain: str, attempt: int, now: float, deadline: float) -> RetryDecision:
        """Decide whether a request that was not run or is idempotent may be retried.

        :param domain: failure domain of the endpoint that failed.
        :param attempt: number of the attempt that failed, from 1.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds after which no attempt is made.
        """
        at = now + self._draw_backoff(attempt)
        if at >= deadline:
            return RetryDecision(allowed=False, at=None)
        budgets = (self._retry_budget, self._daemon_budget, self._get_domain_budget(domain))
        if not all(budget.has_token() for budget in budgets):
            return RetryDecision(allowed=False, at=None)
        self._retry_budget.consume()
        self._consume(domain)
        return RetryDecision(allowed=True, at=at)

    def decide_continuation(
        self, engine: str, domain: str, now: float, deadline: float
    ) -> RetryDecision:
        """Decide whether a generation may be continued after the loss of its engine.

        If only one engine of a domain is lost, all its generations continue immediately. If several
        are lost, their generations share the budget; one that has to wait calls again at the
        returned time.

        :param engine: name of the lost engine.
        :param domain: its failure domain.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds after which no attempt is made.
        """
        if now >= deadline:
            return RetryDecision(allowed=False, at=None)
        is_only_loss = self._record_loss(engine, domain, now)
        # Continuations are limited by the daemon's budget only. The budget of the lost domain is
        # not refilled, so its generations would never finish if they depended on it.
        if is_only_loss or self._daemon_budget.has_token():
            self._consume(domain)
            return RetryDecision(allowed=True, at=now)
        wait = self._daemon_budget.estimate_token_wait() + self._draw_backoff(1)
        at = now + wait
        return RetryDecision(allowed=False, at=at if at < deadline else None)

    def _consume(self, domain: str) -> None:
        self._daemon_budget.consume()
        self._get_domain_budget(domain).consume()

    def _record_loss(self, engine: str, domain: str, now: float) -> bool:
        losses = self._losses.setdefault(domain, {})
        oldest = now - self.settings.window
        for name in [name for name, lost_at in losses.items() if lost_at < oldest]:
            del losses[name]
        if len(losses) < MAX_REMEMBERED_LOSSES:
            losses[engine] = now
        return len(losses) == 1 and engine in losses

    def _draw_backoff(self, attempt: int) -> float:
        longest = self.settings.backoff * 2 ** min(attempt - 1, 16)
        return self.rng.uniform(0, min(longest, self.settings.backoff_limit))

    def _get_domain_budget(self, domain: str) -> TokenBudget:
        if domain not in self._domain_budgets:
            self._domain_budgets[domain] = self._create_budget(1.0)
        return self._domain_budgets[domain]

    def _create_budget(self, share: float) -> TokenBudget:
        settings = self.settings
        ratio, burst = share * settings.ratio, share * settings.burst
        return TokenBudget(ratio=ratio, burst=burst, window=settings.window)
