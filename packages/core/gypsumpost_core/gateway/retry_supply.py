"""The part of a retry budget that is granted to the hosts that need it."""

import math
from collections import deque

import attrs

from gypsumpost_core.gateway.retry_budget import UNREPORTED_SECONDS, RetryBudget

GRANTED_FRACTION = 0.5
"""Fraction of the remaining retries that one host grants by need; the others are divided equally
among all hosts, so that a retry waits for no other host unless there are many."""


@attrs.define(kw_only=True)
class RetrySupply:
    """Grants retries to a service, on the host that coordinates them.

    They count as retries of this host, so that its peers know them even if the one that asked ends.

    :param budget: the retry budget.
    :param service: the service.
    """

    budget: RetryBudget
    service: str
    _granted: deque[float] = attrs.field(factory=deque, init=False)

    def compute_wait(self, level: float, now: float) -> float:
        """Return 0 if this many retries are available, else infinity.

        :param level: number of retries.
        :param now: monotonic time in seconds.
        """
        while self._granted and self._granted[0] < now - UNREPORTED_SECONDS:
            self._granted.popleft()
        recent = len(self._granted)
        remaining = self.budget.compute_remaining(self.service, now)
        return 0.0 if recent + level <= (remaining + recent) * GRANTED_FRACTION else math.inf

    def take(self, count: float, now: float) -> None:
        """Count retries.

        :param count: number of retries.
        :param now: monotonic time in seconds.
        """
        for _ in range(round(count)):
            self.budget.record_retry(self.service, now)
            self._granted.append(now)
