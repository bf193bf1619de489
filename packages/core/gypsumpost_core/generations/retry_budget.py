"""Limits on retries and continuations."""

import random

import attrs

from gypsumpost_core.generations.retry_decision import RetryDecision
from gypsumpost_core.generations.token_budget import TokenBudget

LOSS_LIMIT = 64
"""Lost engines that are remembered for each domain."""


@attrs.frozen(kw_only=True)
class RetrySettings:
    """Settings of the retry budget.

    :param ratio: retries per first attempt.
    :param burst: retries allowed before any first attempt.
    :param window: seconds of first attempts that count, and seconds for which a loss counts.
    :param backoff: seconds of the first backoff at most; doubles with each attempt.
    :param backoff_limit: most seconds of backoff.
    :param continuation_reserve: share of the budget that only continuations may use.
    """

    ratio: float = 0.1
    burst: float = 3.0
    window: float = 60.0
    backoff: float = 0.1
    backoff_limit: float = 5.0
    continuation_reserve: float = 0.5


@attrs.define(kw_only=True)
class RetryBudget:
    """Budgets of this daemon and of each failure domain; a retry needs a token of both.

    A retry is charged to the domain whose endpoint failed. A lost domain gets no first attempts,
    so its budget runs dry.

    :param chance: source of the jitter.
    :param settings: settings of the budgets.
    """

    chance: random.Random
    settings: RetrySettings = attrs.field(factory=RetrySettings)
    _daemon: TokenBudget = attrs.field(init=False)
    _retries: TokenBudget = attrs.field(init=False)
    _domains: dict[str, TokenBudget] = attrs.field(factory=dict)
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._daemon = self._create_budget(1.0)
        self._retries = self._create_budget(1 - self.settings.continuation_reserve)

    def record_first(self, domain: str, now: float) -> None:
        """Note a first attempt.

        :param domain: failure domain of the endpoint that it was sent to.
        :param now: process time in seconds.
        """
        self._daemon.add_first(now)
        self._retries.add_first(now)
        self._get_domain(domain).add_first(now)

    def decide_retry(self, domain: str, attempt: int, now: float, deadline: float) -> RetryDecision:
        """Decide about a retry of a request that was not run or is idempotent.

        :param domain: failure domain of the endpoint that failed.
        :param attempt: number of the attempt that failed, from 1.
        :param now: process time in seconds.
        :param deadline: process time after which nothing is tried.
        """
        at = now + self._draw_backoff(attempt)
        if at >= deadline:
            return RetryDecision(allowed=False, at=None)
        budgets = (self._retries, self._daemon, self._get_domain(domain))
        if not all(budget.has_token() for budget in budgets):
            return RetryDecision(allowed=False, at=None)
        self._retries.take()
        self._take(domain)
        return RetryDecision(allowed=True, at=at)

    def decide_continuation(
        self, engine: str, domain: str, now: float, deadline: float
    ) -> RetryDecision:
        """Decide about a continuation after the loss of an engine.

        While one engine of a domain is lost, its generations all continue at once. When more
        are lost they share the budget; who must wait asks again at the given time.

        :param engine: name of the lost engine.
        :param domain: its failure domain.
        :param now: process time in seconds.
        :param deadline: process time after which nothing is tried.
        """
        if now >= deadline:
            return RetryDecision(allowed=False, at=None)
        alone = self._note_loss(engine, domain, now)
        # Continuations go by the daemon's budget alone: the lost domain's cannot refill, and
        # their generations would otherwise never end.
        if alone or self._daemon.has_token():
            self._take(domain)
            return RetryDecision(allowed=True, at=now)
        wait = self._daemon.expect_token_in() + self._draw_backoff(1)
        at = now + wait
        return RetryDecision(allowed=False, at=at if at < deadline else None)

    def _take(self, domain: str) -> None:
        self._daemon.take()
        self._get_domain(domain).take()

    def _note_loss(self, engine: str, domain: str, now: float) -> bool:
        losses = self._losses.setdefault(domain, {})
        oldest = now - self.settings.window
        for name in [name for name, lost_at in losses.items() if lost_at < oldest]:
            del losses[name]
        if len(losses) < LOSS_LIMIT:
            losses[engine] = now
        return len(losses) == 1 and engine in losses

    def _draw_backoff(self, attempt: int) -> float:
        longest = self.settings.backoff * 2 ** min(attempt - 1, 16)
        return self.chance.uniform(0, min(longest, self.settings.backoff_limit))

    def _get_domain(self, domain: str) -> TokenBudget:
        if domain not in self._domains:
            self._domains[domain] = self._create_budget(1.0)
        return self._domains[domain]

    def _create_budget(self, share: float) -> TokenBudget:
        settings = self.settings
        ratio, burst = share * settings.ratio, share * settings.burst
        return TokenBudget(ratio=ratio, burst=burst, window=settings.window)
