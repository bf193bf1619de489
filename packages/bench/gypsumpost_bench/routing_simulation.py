"""A simulation of several daemons that route to engines of different speeds."""

import random

import attrs

from gypsumpost_bench.simulated_clock import SimulatedClock
from gypsumpost_bench.simulated_engine import MODEL, SimulatedEngine
from gypsumpost_bench.simulated_job import SimulatedJob
from gypsumpost_bench.simulated_load import (
    MEAN_OUTPUT_TOKENS,
    MEAN_PROMPT_TOKENS,
    draw_output,
    draw_prompt,
)
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.router import Router

DOMAINS = ("d0", "d1", "d2")
TOKEN_TIMES = (0.02, 0.03, 0.06)
"""Seconds per token of the three kinds of engine, without the slowdown by the batch."""

ENGINES = 18
ROUTERS = 9
PROBE_INTERVAL = 0.1
RETRY_DELAY = 0.05


@attrs.define(kw_only=True, eq=False)
class SimulatedGeneration:
    """A generation over all its attempts."""

    router: Router
    arrived_at: float
    prompt_tokens: int
    output_tokens: int
    generated_tokens: int = 0
    first_token_at: float | None = None


@attrs.define(kw_only=True)
class RoutingSimulation:
    """Nine daemons in three domains that serve 18 engines.

    :param policy: the routing policy of all daemons.
    :param load: offered load as a share of the capacity.
    :param duration: seconds in which generations arrive.
    :param lost_at: time at which one domain's engines die, ``None`` for never.
    :param warm_up: seconds at the start whose arrivals are not measured.
    """

    policy: str
    load: float
    duration: float
    lost_at: float | None = None
    warm_up: float = 20.0
    seed: int = 1
    first_token_times: list[float] = attrs.field(factory=list)
    completion_times: list[float] = attrs.field(factory=list)
    offered: int = 0
    _clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    _engines: dict[str, SimulatedEngine] = attrs.field(factory=dict)
    _routers: list[Router] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for number in range(ENGINES):
            engine = SimulatedEngine(
                name=f"e{number}",
                failure_domain=DOMAINS[number % 3],
                clock=self._clock,
                token_time=TOKEN_TIMES[number // 3 % 3],
            )
            self._engines[engine.name] = engine
        endpoints = [_create_endpoint(engine) for engine in self._engines.values()]
        for number in range(ROUTERS):
            router = Router(failure_domain=DOMAINS[number % 3], policy=self.policy, seed=number)
            router.update_endpoints(endpoints, 0.0)
            self._routers.append(router)

    def run(self) -> None:
        """Run all arrivals, and 300 s more for the generations to end."""
        for router in self._routers:
            self._clock.call_every(PROBE_INTERVAL, lambda router=router: self._probe(router))  # type: ignore
        capacity = sum(
            e.compute_capacity(MEAN_PROMPT_TOKENS, MEAN_OUTPUT_TOKENS)
            for e in self._engines.values()
        )
        time = 0.0
        while time < self.duration:
            time += self._rng.expovariate(self.load * capacity)
            self._clock.call_at(time, self._arrive)
        if self.lost_at is not None:
            self._clock.call_at(self.lost_at, self._lose_domain)
        self._clock.run_until(self.duration + 300)

    def _lose_domain(self) -> None:
        for engine in self._engines.values():
            if engine.failure_domain == DOMAINS[0]:
                engine.kill()

    def _probe(self, router: Router) -> None:
        for name in router.list_probe_targets(self._clock.now):
            report = self._engines[name].get_report()
            if report is not None:
                router.record_load(name, report, self._clock.now)

    def _arrive(self) -> None:
        generation = SimulatedGeneration(
            router=self._rng.choice(self._routers),
            arrived_at=self._clock.now,
            prompt_tokens=draw_prompt(self._rng),
            output_tokens=draw_output(self._rng),
        )
        self.offered += self._clock.now > self.warm_up
        self._send(generation)

    def _send(self, generation: SimulatedGeneration) -> None:
        now, router = self._clock.now, generation.router
        request = RouteRequest(
            workspace="w",
            model=MODEL.model,
            prompt_tokens=generation.prompt_tokens + generation.generated_tokens,
        )
        engine = self._engines[router.choose(request, now).unwrap().name]
        router.record_start(engine.name, request, now)
        first_token_at = now
        loaded_at = now

        def handle_first_token() -> None:
            nonlocal first_token_at
            first_token_at = self._clock.now
            router.record_first_token(
                engine.name, request, first_token_at - loaded_at, first_token_at
            )
            if generation.first_token_at is None:
                generation.first_token_at = first_token_at

        def handle_end(outcome: AttemptOutcome, tokens: int) -> None:
            end = self._clock.now
            if tokens:
                router.record_tokens(engine.name, tokens, end - first_token_at, end)
            router.record_end(engine.name, request, outcome, end)
            generation.generated_tokens += tokens
            if outcome is AttemptOutcome.FINISHED:
                self._complete(generation)
            else:
                self._clock.call_at(end + RETRY_DELAY, lambda: self._send(generation))

        job = SimulatedJob(
            prompt_tokens=request.prompt_tokens,
            output_tokens=generation.output_tokens - generation.generated_tokens,
            on_first_token=handle_first_token,
            on_end=handle_end,
        )
        if not engine.submit(job):
            handle_end(AttemptOutcome.DIED, 0)

    def _complete(self, generation: SimulatedGeneration) -> None:
        if generation.arrived_at > self.warm_up and generation.first_token_at is not None:
            self.first_token_times.append(generation.first_token_at - generation.arrived_at)
            self.completion_times.append(self._clock.now - generation.arrived_at)


def _create_endpoint(engine: SimulatedEngine) -> Endpoint:
    return Endpoint(
        name=engine.name,
        kind=EndpointKind.ENGINE,
        address="127.0.0.1:1",
        failure_domain=engine.failure_domain,
        models=(MODEL,),
    )
