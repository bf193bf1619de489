"""A simulation of one daemon with and without admission under overload."""

import random

import attrs

from gypsumpost_bench.simulated_clock import SimulatedClock
from gypsumpost_bench.simulated_engine import SimulatedEngine
from gypsumpost_bench.simulated_job import SimulatedJob
from gypsumpost_bench.simulated_load import (
    MEAN_OUTPUT_TOKENS,
    MEAN_PROMPT_TOKENS,
    draw_output,
    draw_prompt,
)
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.limits.admission import Admission
from gypsumpost_core.limits.admission_decision import AdmissionDecision, AdmissionVerdict
from gypsumpost_core.limits.admission_request import AdmissionRequest
from gypsumpost_core.limits.concurrency_limit import ConcurrencyLimit

ENGINES = 6
DEADLINE_SECONDS = 45.0
"""Seconds from the arrival to the deadline."""


@attrs.frozen(kw_only=True)
class LoadPhase:
    """A period of constant load.

    :param until: end of the phase in simulated seconds.
    :param load: offered load as a share of the capacity.
    :param flood_share: share of the requests that one flooding workspace sends.
    """

    until: float
    load: float
    flood_share: float = 0.0


@attrs.define(kw_only=True, eq=False)
class OfferedRequest:
    """A request with its job, progress and result."""

    name: str
    workspace: str
    arrived_at: float
    prompt_tokens: int
    output_tokens: int
    engine: SimulatedEngine | None = None
    job: SimulatedJob | None = None
    first_token_at: float | None = None
    met_deadline: bool = False
    refused: bool = False


@attrs.define(kw_only=True)
class AdmissionSimulation:
    """One daemon that serves six engines; callers disconnect at their deadline.

    :param phases: the load over time.
    :param admission_enabled: false for the baseline without admission control, which sends every
        request to an engine at once.
    """

    phases: tuple[LoadPhase, ...]
    admission_enabled: bool = True
    seed: int = 1
    requests: dict[str, OfferedRequest] = attrs.field(factory=dict)
    tokens_within_deadline: list[tuple[float, int]] = attrs.field(factory=list)
    _clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    _engines: list[SimulatedEngine] = attrs.field(factory=list)
    _admission: Admission = attrs.field(factory=Admission)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for number in range(ENGINES):
            engine = SimulatedEngine(name=f"e{number}", failure_domain="d0", clock=self._clock)
            self._engines.append(engine)
        slots = sum(engine.slots for engine in self._engines)
        self._admission = Admission(limit=ConcurrencyLimit(capacity=slots))

    def run(self) -> None:
        """Run all phases, and then until the deadline of the last request."""
        capacity = sum(
            e.compute_capacity(MEAN_PROMPT_TOKENS, MEAN_OUTPUT_TOKENS) for e in self._engines
        )
        time = 0.0
        for phase in self.phases:
            while time < phase.until:
                time += self._rng.expovariate(phase.load * capacity)
                self._clock.call_at(time, lambda phase=phase: self._arrive(phase))  # type: ignore
        self._clock.call_every(0.25, self._expire)
        self._clock.run_until(time + DEADLINE_SECONDS)

    def compute_goodput(self, start: float, end: float) -> float:
        """Return the tokens per second of answers that met their deadline."""
        tokens = sum(count for at, count in self.tokens_within_deadline if start <= at < end)
        return tokens / (end - start)

    def list_first_token_times(self, workspace: str, start: float, end: float) -> list[float]:
        """Return the seconds to the first token of a workspace's requests that received one."""
        chosen = [r for r in self.requests.values() if r.workspace == workspace]
        arrived = [r for r in chosen if start <= r.arrived_at < end]
        return [r.first_token_at - r.arrived_at for r in arrived if r.first_token_at is not None]

    def compute_recovery_time(self, after: float, max_first_token_time: float) -> float:
        """Return the seconds from ``after`` to the arrival of the last request with poor service.

        Such a request was refused, missed its deadline or waited longer than
        ``max_first_token_time`` seconds for its first token.
        """
        later = [r for r in self.requests.values() if r.arrived_at >= after]
        bad = [r.arrived_at for r in later if not _is_served(r, max_first_token_time)]
        return max(bad, default=after) - after

    def _arrive(self, phase: LoadPhase) -> None:
        flood = self._rng.random() < phase.flood_share
        request = OfferedRequest(
            name=f"r{len(self.requests)}",
            workspace="flood" if flood else f"w{self._rng.randrange(8)}",
            arrived_at=self._clock.now,
            prompt_tokens=draw_prompt(self._rng),
            output_tokens=min(draw_output(self._rng), 400),
        )
        self.requests[request.name] = request
        self._clock.call_at(
            request.arrived_at + DEADLINE_SECONDS, lambda: self._disconnect(request)
        )
        if not self.admission_enabled:
            self._submit(request)
            return
        offered = AdmissionRequest(
            request_id=request.name,
            workspace=request.workspace,
            cost=request.output_tokens,
            deadline=request.arrived_at + DEADLINE_SECONDS,
        )
        self._apply(self._admission.offer(offered, self._clock.now))

    def _expire(self) -> None:
        self._apply(self._admission.expire(self._clock.now))

    def _apply(self, decisions: list[AdmissionDecision]) -> None:
        for decision in decisions:
            request = self.requests[decision.request_id]
            if decision.verdict is AdmissionVerdict.START:
                self._admission.start(request.name, self._clock.now)
                self._submit(request)
            elif decision.verdict is AdmissionVerdict.REFUSED:
                request.refused = True

    def _submit(self, request: OfferedRequest) -> None:
        sent_at = self._clock.now

        def handle_first_token() -> None:
            request.first_token_at = self._clock.now
            self._admission.observe_first_token(
                request.first_token_at - sent_at, request.first_token_at
            )

        def handle_end(outcome: AttemptOutcome, tokens: int) -> None:
            now = self._clock.now
            finished = outcome is AttemptOutcome.FINISHED
            request.met_deadline = finished and now <= request.arrived_at + DEADLINE_SECONDS
            if request.met_deadline:
                self.tokens_within_deadline.append((now, tokens))
            if self.admission_enabled:
                self._apply(self._admission.finish(request.name, now, completed=finished))

        request.job = SimulatedJob(
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            on_first_token=handle_first_token,
            on_end=handle_end,
        )
        request.engine = min(self._engines, key=lambda engine: engine.count_jobs())
        request.engine.submit(request.job)

    def _disconnect(self, request: OfferedRequest) -> None:
        if request.engine is not None and request.job is not None:
            request.engine.cancel(request.job)


def _is_served(request: OfferedRequest, max_first_token_time: float) -> bool:
    if request.refused or not request.met_deadline or request.first_token_at is None:
        return False
    return request.first_token_at - request.arrived_at <= max_first_token_time
