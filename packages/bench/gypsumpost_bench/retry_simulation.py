"""A simulation of retries while one failure domain is lost."""

import math
import random

import attrs

from gypsumpost_bench.simulated_clock import SimulatedClock
from gypsumpost_core.generations.retry_budget import RetryBudget

DOMAINS = 3
ENGINES_PER_DOMAIN = 4
REQUESTS_PER_SECOND = 20.0
"""First attempts per second."""

MEAN_GENERATION_SECONDS = 8.0

DEADLINE_SECONDS = 45.0
BACKOFF_SECONDS = 0.1


@attrs.define(kw_only=True, eq=False)
class RetriedRequest:
    """A request with its current attempt."""

    deadline: float
    attempts: int = 0
    engine: int = -1
    running: bool = False


@attrs.define(kw_only=True)
class RetrySimulation:
    """Sends requests to random engines, including those of the lost domain.

    This is the worst case: routing does not know about the loss.

    :param budget_enabled: false for the baseline, which retries with backoff until the deadline.
    :param lost_at: time of the loss in simulated seconds.
    :param duration: seconds in which requests arrive.
    """

    budget_enabled: bool
    lost_at: float
    duration: float
    seed: int = 1
    first_attempts: int = 0
    attempts: int = 0
    completed: int = 0
    _clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    _running: list[RetriedRequest] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)
    _budget: RetryBudget = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._budget = RetryBudget(rng=random.Random(self.seed))

    def run(self) -> None:
        """Run all arrivals, and two deadlines (90 s) more for the requests to end."""
        time = 0.0
        while time < self.duration:
            time += self._rng.expovariate(REQUESTS_PER_SECOND)
            self._clock.call_at(time, self._arrive)
        self._clock.call_at(self.lost_at, self._lose_domain)
        self._clock.run_until(self.duration + 2 * DEADLINE_SECONDS)

    def _arrive(self) -> None:
        request = RetriedRequest(deadline=self._clock.now + DEADLINE_SECONDS)
        self.first_attempts += 1
        engine = self._draw_engine()
        self._budget.record_first_attempt(_get_domain(engine), self._clock.now)
        self._send(request, engine)

    def _draw_engine(self) -> int:
        return self._rng.randrange(DOMAINS * ENGINES_PER_DOMAIN)

    def _send(self, request: RetriedRequest, engine: int) -> None:
        self.attempts += 1
        request.attempts += 1
        request.engine = engine
        if self._is_lost(engine):
            self._retry(request)
            return
        request.running = True
        self._running.append(request)
        end = self._clock.now + self._rng.expovariate(1 / MEAN_GENERATION_SECONDS)
        attempt = request.attempts
        self._clock.call_at(end, lambda: self._complete(request, attempt))

    def _complete(self, request: RetriedRequest, attempt: int) -> None:
        if request.running and request.attempts == attempt:
            request.running = False
            self._running.remove(request)
            self.completed += 1

    def _lose_domain(self) -> None:
        for request in [r for r in self._running if self._is_lost(r.engine)]:
            request.running = False
            self._running.remove(request)
            self._continue(request)

    def _continue(self, request: RetriedRequest) -> None:
        now = self._clock.now
        if not self.budget_enabled:
            self._retry(request)
            return
        lost = request.engine
        decision = self._budget.decide_continuation(
            f"e{lost}", _get_domain(lost), now, request.deadline
        )
        if decision.allowed:
            # A continuation goes to an engine that is known to be alive.
            self._send(request, self._rng.randrange(ENGINES_PER_DOMAIN) * DOMAINS + 1)
        elif decision.at is not None:
            self._clock.call_at(decision.at, lambda: self._continue(request))

    def _retry(self, request: RetriedRequest) -> None:
        now = self._clock.now
        at: float | None = now + self._rng.uniform(
            0, BACKOFF_SECONDS * 2 ** min(request.attempts, 5)
        )
        if self.budget_enabled:
            domain = _get_domain(request.engine)
            decision = self._budget.decide_retry(domain, request.attempts, now, request.deadline)
            at = decision.at if decision.allowed else None
        if at is not None and at < request.deadline:
            self._clock.call_at(at, lambda: self._send(request, self._draw_engine()))

    def _is_lost(self, engine: int) -> bool:
        return engine % DOMAINS == 0 and self._clock.now >= self.lost_at

    def compute_attempt_ratio(self) -> float:
        """Return the ratio of all attempts to first attempts, ``nan`` without requests."""
        return self.attempts / self.first_attempts if self.first_attempts else math.nan


def _get_domain(engine: int) -> str:
    return f"d{engine % DOMAINS}"
