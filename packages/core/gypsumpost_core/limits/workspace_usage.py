"""One daemon's usage of one workspace's allowance."""

import math

from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.rate_meter import RateMeter
from gypsumpost_core.limits.share_amounts import ShareAmounts
from gypsumpost_core.limits.share_division import compute_desired_share
from gypsumpost_core.limits.token_bucket import TokenBucket

BURST_SECONDS = 0.2
"""Burst capacity, in seconds of the share's rate. Divided by the number of hosts, it also gives the
minimum burst of each host, as a part of the whole allowance, regardless of the host's share. With
both, the hosts together can exceed the allowance by 4% over 10 s. With a smaller burst, a small
share that equals the demand causes many refusals: arrivals are random, and a bucket with room for
one request refuses a third of them."""

RENEW_SECONDS = 0.5
"""A share is renewed this many seconds before its deadline."""

REPORT_PERIOD_SECONDS = 0.25
CHANGED_FRACTION = 0.2
"""Demand is reported when it differs from the last report by more than this fraction."""

SHIFT_FRACTION = 0.5
"""Demand that differs from the last report by more than this fraction counts as shifted from or to
other daemons and is reported immediately."""

SHIFT_REPORT_SECONDS = 1.5
"""For this long after a shift, a daemon whose share is too small reports continuously, while the
daemons that had the demand before return their shares."""

IDLE_SECONDS = 2.0
MEAN_WEIGHT = 0.1


class WorkspaceUsage:
    """Token buckets, running generations, measured demand and the held share.

    :param now: monotonic time in seconds.
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
        self._reported_at = self._shifted_at = -math.inf
        self._last_used_at = now

    def adopt(self, number: int, amounts: ShareAmounts, deadline: float, now: float) -> None:
        """Apply a granted share, unless it has expired or a later one is held.

        :param number: number of the report to which the grant replies.
        :param amounts: the share.
        :param deadline: monotonic time in seconds at which it expires.
        :param now: monotonic time in seconds.
        """
        if number > self.held_number and deadline > now:
            self.held_number, self.deadline = number, deadline
            self._set_share(amounts, now)

    def expire(self, now: float) -> None:
        """Drop the share if its deadline has passed.

        :param now: monotonic time in seconds.
        """
        if now >= self.deadline and not self.held.is_zero():
            # The buckets fill up to the deadline only.
            self._set_share(ShareAmounts(), self.deadline)

    def set_burst(self, limit: ShareAmounts, hosts: int) -> None:
        """Set the minimum burst of this host, which does not depend on its share.

        :param limit: the whole allowance.
        :param hosts: number of known hosts.
        """
        part = limit.scale(BURST_SECONDS / hosts)
        self.requests.set_minimum(max(1.0, part.requests))
        self.tokens.set_minimum(max(1.0, part.tokens))

    def mark_active(self, now: float) -> None:
        """Mark the workspace as used, so that a share is requested before the first request.

        :param now: monotonic time in seconds.
        """
        self._last_used_at = now

    def record_request(self, accepted: bool, generation: bool, now: float) -> None:
        """Count a received request.

        :param accepted: true if it was admitted.
        :param generation: true if it is a generation.
        :param now: monotonic time in seconds.
        """
        self._offered.add(1, now)
        self._last_used_at = now
        if generation and not accepted:
            self._refused.add(1, now)

    def record_tokens(self, count: int, now: float) -> None:
        """Count generated tokens and charge them.

        :param count: number of tokens.
        :param now: monotonic time in seconds.
        """
        self.tokens.take(count, now)
        self._generated.add(count, now)
        self._last_used_at = now

    def record_finished_generation(self, tokens: int) -> None:
        """Update the mean number of tokens per request after a finished generation.

        :param tokens: number of its tokens.
        """
        mean = self._tokens_per_request or tokens
        self._tokens_per_request = mean + MEAN_WEIGHT * (tokens - mean)

    def compute_demand(self, now: float) -> ShareAmounts:
        """Return the amounts that this daemon could use.

        :param now: monotonic time in seconds.
        """
        offered = self._offered.compute_rate(now)
        # Refused requests would have generated tokens too.
        expected = offered * self._tokens_per_request
        # The demand covers at least one request, so that the first one can be admitted.
        return ShareAmounts(
            requests=max(1.0, offered),
            tokens=max(self._generated.compute_rate(now), expected),
            generations=max(1, self.running + math.ceil(self._refused.compute_rate(now))),
        )

    def is_idle(self, now: float) -> bool:
        """Return whether this daemon no longer serves the workspace.

        :param now: monotonic time in seconds.
        """
        return self.running == 0 and now - self._last_used_at > IDLE_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether a report is due.

        :param now: monotonic time in seconds.
        """
        if self.is_idle(now):
            return not self.held.is_zero()
        if self._has_changed(SHIFT_FRACTION, now):
            self._shifted_at = now
            return True
        if now - self._shifted_at < SHIFT_REPORT_SECONDS and self._lacks_share():
            return True
        if now - self._reported_at < REPORT_PERIOD_SECONDS:
            return False
        return now >= self.deadline - RENEW_SECONDS or self._has_changed(CHANGED_FRACTION, now)

    def create_report(
        self, workspace: str, number: int, limit: ShareAmounts, now: float
    ) -> DemandReport:
        """Return a report and release the part of the held share that exceeds the demand.

        :param workspace: the workspace.
        :param number: number of the report.
        :param limit: the allowance.
        :param now: monotonic time in seconds.
        """
        idle = self.is_idle(now)
        demand = ShareAmounts() if idle else self.compute_demand(now)
        desired = ShareAmounts() if idle else compute_desired_share(demand, limit)
        self._set_share(self.held.combine(desired, min).round_down(), now)
        self._reported, self._reported_at = demand, now
        if idle:
            # After the release, grants for earlier reports must be ignored.
            self.held_number = number
        return DemandReport(
            workspace=workspace, held_number=self.held_number, held=self.held, demand=demand
        )

    def _has_changed(self, fraction: float, now: float) -> bool:
        demand = self.compute_demand(now)
        changes = demand.combine(self._reported, lambda left, right: abs(left - right))
        scale = self._reported.scale(fraction)
        excess = changes.combine(scale, lambda left, right: left - right)
        # Differences of a few requests, one generation or some tokens are noise.
        return excess.requests > 2 or excess.tokens > 50 or excess.generations > 1

    def _lacks_share(self) -> bool:
        missing = self._reported.combine(self.held, lambda demand, held: demand - held)
        return max(missing.requests, missing.tokens, missing.generations) > 0

    def _set_share(self, amounts: ShareAmounts, now: float) -> None:
        self.held = amounts
        self.requests.set_rate(amounts.requests, now)
        self.tokens.set_rate(amounts.tokens, now)
