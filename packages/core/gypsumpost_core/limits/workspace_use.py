"""What one daemon uses of one workspace's allowance."""

import math

from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.rate_meter import RateMeter
from gypsumpost_core.limits.share_amounts import ShareAmounts
from gypsumpost_core.limits.share_division import compute_wanted
from gypsumpost_core.limits.token_bucket import TokenBucket

BURST_SECONDS = 0.2
"""Unused share that may be used later, and, divided by the number of hosts, the part of the whole
allowance that each host may use later whatever its share. Both together let the hosts exceed the
allowance by 4% over 10 s. With a smaller burst, a small share that equals the demand refuses many
requests: arrivals are random, and a bucket of one request loses a third of them."""

RENEW_SECONDS = 0.5
"""A share is renewed this long before its deadline."""

REPORT_PERIOD_SECONDS = 0.25
CHANGED_FRACTION = 0.2
"""A demand is reported when it differs by this part from the last report."""

MOVED_FRACTION = 0.5
"""A demand that differs by this part has moved, so that it is reported without a pause."""

SEARCH_SECONDS = 1.5
"""How long after a move a daemon asks for its share without a pause, while the daemons that
the demand came from give theirs back."""

IDLE_SECONDS = 2.0
MEAN_WEIGHT = 0.1


class WorkspaceUse:
    """Buckets, running generations, demand and the share that is held.

    :param now: process time in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.requests = TokenBucket(burst_seconds=BURST_SECONDS, minimum_capacity=1, now=now)
        self.tokens = TokenBucket(burst_seconds=BURST_SECONDS, minimum_capacity=1, now=now)
        self.running = 0
        self.held = ShareAmounts()
        self.held_number = 0
        self.deadline = -math.inf
        self._offered, self._generated, self._refused = RateMeter(), RateMeter(), RateMeter()
        self._tokens_per_request = 0.0
        self._reported = ShareAmounts()
        self._reported_at = self._moved_at = -math.inf
        self._used_at = now

    def adopt(self, number: int, amounts: ShareAmounts, deadline: float, now: float) -> None:
        """Hold a granted share, unless a later one is held.

        :param number: number of the report that the grant answers.
        :param amounts: the share.
        :param deadline: process time in seconds at which it lapses.
        :param now: process time in seconds.
        """
        if number > self.held_number and deadline > now:
            self.held_number, self.deadline = number, deadline
            self._hold(amounts, now)

    def lapse(self, now: float) -> None:
        """Stop using a share whose deadline has passed.

        :param now: process time in seconds.
        """
        if now >= self.deadline and not self.held.is_zero():
            # What accrues is counted up to the deadline only.
            self._hold(ShareAmounts(), self.deadline)

    def set_burst(self, limit: ShareAmounts, hosts: int) -> None:
        """Set what this host may use later whatever its share.

        :param limit: the whole allowance.
        :param hosts: number of known hosts.
        """
        part = limit.scale(BURST_SECONDS / hosts)
        self.requests.set_minimum(max(1.0, part.requests))
        self.tokens.set_minimum(max(1.0, part.tokens))

    def expect_request(self, now: float) -> None:
        """Ask for a share ahead of a request.

        :param now: process time in seconds.
        """
        self._used_at = now

    def note_request(self, accepted: bool, generation: bool, now: float) -> None:
        """Count an offered request.

        :param accepted: whether it was admitted.
        :param generation: whether it is a generation.
        :param now: process time in seconds.
        """
        self._offered.add(1, now)
        self._used_at = now
        if generation and not accepted:
            self._refused.add(1, now)

    def note_tokens(self, count: int, now: float) -> None:
        """Count generated tokens and charge them.

        :param count: number of tokens.
        :param now: process time in seconds.
        """
        self.tokens.take(count, now)
        self._generated.add(count, now)
        self._used_at = now

    def note_finish(self, tokens: int) -> None:
        """Learn from a finished generation how many tokens a request brings.

        :param tokens: number of its tokens.
        """
        mean = self._tokens_per_request or tokens
        self._tokens_per_request = mean + MEAN_WEIGHT * (tokens - mean)

    def compute_demand(self, now: float) -> ShareAmounts:
        """Return what this daemon could use.

        :param now: process time in seconds.
        """
        offered = self._offered.compute_rate(now)
        # Refused requests would have brought tokens too.
        expected = offered * self._tokens_per_request
        # A daemon that expects a request needs a share for one.
        return ShareAmounts(
            requests=max(1.0, offered),
            tokens=max(self._generated.compute_rate(now), expected),
            generations=max(1, self.running + math.ceil(self._refused.compute_rate(now))),
        )

    def is_idle(self, now: float) -> bool:
        """Return whether the workspace is not served here any more.

        :param now: process time in seconds.
        """
        return self.running == 0 and now - self._used_at > IDLE_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether a report is due.

        :param now: process time in seconds.
        """
        if self.is_idle(now):
            return not self.held.is_zero()
        if self._has_changed(MOVED_FRACTION, now):
            self._moved_at = now
            return True
        if now - self._moved_at < SEARCH_SECONDS and self._is_short():
            return True
        if now - self._reported_at < REPORT_PERIOD_SECONDS:
            return False
        return now >= self.deadline - RENEW_SECONDS or self._has_changed(CHANGED_FRACTION, now)

    def create_report(
        self, workspace: str, number: int, limit: ShareAmounts, now: float
    ) -> DemandReport:
        """Return a report and give up what is held beyond the demand.

        :param workspace: the workspace.
        :param number: number of the report.
        :param limit: the allowance.
        :param now: process time in seconds.
        """
        idle = self.is_idle(now)
        demand = ShareAmounts() if idle else self.compute_demand(now)
        wanted = ShareAmounts() if idle else compute_wanted(demand, limit)
        self._hold(self.held.combine(wanted, min).round_down(), now)
        self._reported, self._reported_at = demand, now
        if idle:
            # No grant of an earlier report is adopted after the release.
            self.held_number = number
        return DemandReport(
            workspace=workspace, held_number=self.held_number, held=self.held, demand=demand
        )

    def _has_changed(self, fraction: float, now: float) -> bool:
        demand = self.compute_demand(now)
        changes = demand.combine(self._reported, lambda left, right: abs(left - right))
        scale = self._reported.scale(fraction)
        excess = changes.combine(scale, lambda left, right: left - right)
        # Single requests and generations and a handful of tokens are noise.
        return excess.requests > 2 or excess.tokens > 50 or excess.generations > 1

    def _is_short(self) -> bool:
        missing = self._reported.combine(self.held, lambda wish, have: wish - have)
        return max(missing.requests, missing.tokens, missing.generations) > 0

    def _hold(self, amounts: ShareAmounts, now: float) -> None:
        self.held = amounts
        self.requests.set_rate(amounts.requests, now)
        self.tokens.set_rate(amounts.tokens, now)
