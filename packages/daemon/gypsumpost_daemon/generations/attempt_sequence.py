"""Runs the attempts of a generation one after another."""

import random
import time
from collections.abc import Callable

import attrs
import trio
from result import Err, Ok

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.generations.resumption_policy import ResumptionAction
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.suspicion.suspicion_decision import SuspicionDecision
from gypsumpost_daemon.generations.attempt_reader import AttemptReader
from gypsumpost_daemon.generations.attempt_route import AttemptRoute
from gypsumpost_daemon.generations.attempt_runner import AttemptRunner
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_status import GenerationStatus
from gypsumpost_daemon.generations.limited_engines import LimitedEngines
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="generation")

NO_ENGINE_WAIT = 0.05
"""Seconds until the next search for an engine if none can accept the attempt."""

MAX_EMPTY_ATTEMPTS = 8
"""Consecutive attempts without a token after which the generation fails."""

EMPTY_ATTEMPT_BACKOFF = 0.05
MAX_EMPTY_ATTEMPT_BACKOFF = 1.0
"""Limit of the backoff in seconds after attempts without a token; it doubles each time."""

CONTINUATION_WAIT = 0.5
"""Maximum wait in seconds for the retry budget after an engine was lost or has refused.

Together with up to 1.8 s of silence before the loss is detected, a stall stays below 3 s.

An exhausted budget is refilled only by first attempts. Without this limit, a generation on a daemon
without new requests would wait until its deadline.
"""


@attrs.define(kw_only=True)
class AttemptSequence:
    """Starts attempts until the answer is complete or the generation has failed.

    :param status: the generation and its outcome.
    :param routes: builds the routing requests of attempts.
    :param reader: reads the attempts' streams.
    :param context: the components shared by all generation tasks.
    :param handle_restart: called after the output so far was discarded.
    """

    status: GenerationStatus
    routes: AttemptRoute
    reader: AttemptReader
    context: GenerationContext
    handle_restart: Callable[[], None]
    _runner: AttemptRunner = attrs.field(init=False)
    _empty_attempts: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._runner = AttemptRunner(
            status=self.status, routes=self.routes, reader=self.reader, context=self.context
        )

    async def run(self) -> None:
        """Run attempts until the answer has ended or the generation has failed."""
        status = self.status
        if status.record.attempt and not status.generation.finished:
            await self._runner.resume()
        while not status.generation.finished and status.failure is None:
            if status.is_past_deadline():
                status.fail("deadline_exceeded", 504, "The request's deadline has passed.")
            elif status.required_length > status.record.length:
                message = "The answer cannot be continued without a gap."
                status.fail("state_lost", 409, message)
            elif self._empty_attempts >= MAX_EMPTY_ATTEMPTS:
                status.fail("engines_failed", 502, "No engine could go on with the answer.")
            else:
                await self._run_attempt()

    @property
    def _engines(self) -> LimitedEngines:
        return LimitedEngines(router=self.context.router, signals=self.context.signals)

    def _restart_if_unreleased(self) -> None:
        restart = self.reader.action is ResumptionAction.RESTART
        self.reader.action = ResumptionAction.CONTINUE
        if restart and not self.status.generation.released:
            self.status.generation = self.status.generation.restart()
            self.routes.record = self.status.record
            self.handle_restart()

    async def _run_attempt(self) -> None:
        self._restart_if_unreleased()
        now = trio.current_time()
        route = self.routes.describe()
        decision = self.context.crash_guard.decide(
            route, self.status.may_have_run, now, self._compute_deadline()
        )
        if decision.failure is not None:
            LOG.write("quarantined", **self.status.describe())
            self.status.failure = decision.failure
            return
        if decision.check_at is not None:
            await trio.sleep_until(min(decision.check_at, self._compute_deadline()))
            return
        route = self._restrict(route, decision)
        chosen = self._engines.choose(route, now)
        if isinstance(chosen, Err):
            restricted = bool(decision.excluded or decision.engine)
            await self._handle_no_engine(chosen.err_value, restricted)
            return
        engine = chosen.ok_value
        permitted = await self._engines.take_permit(
            engine, route, self._compute_deadline(), started=bool(self.status.record.pieces)
        )
        if isinstance(permitted, Ok):
            await self._run_on(engine, route)
        else:
            await self._handle_full_engine(permitted.err_value)

    async def _handle_full_engine(self, opens_at: float) -> None:
        now = trio.current_time()
        if self._engines.has_alternatives(self.routes.describe(), now):
            return
        if self.status.record.attempt == 0:
            message = "The engines of the model are at the limit that they have named."
            retry_at = time.time() + opens_at - now
            self.status.fail("engines_at_limit", 503, message, retry_at=retry_at)
        else:
            await trio.sleep_until(min(opens_at, self._compute_deadline()))

    def _restrict(self, route: RouteRequest, decision: SuspicionDecision) -> RouteRequest:
        excluded = route.excluded | decision.excluded | self.context.crash_guard.list_dead()
        return attrs.evolve(route, excluded=excluded, required_endpoint=decision.engine)

    async def _run_on(self, engine: Endpoint, route: RouteRequest) -> None:
        if self.status.record.attempt == 0:
            self.context.retry_budget.record_first_attempt(
                engine.failure_domain, trio.current_time()
            )
        self.reader.has_output = False
        outcome = await self._runner.run(engine, route)
        if self.reader.has_output:
            self._empty_attempts = 0
        if outcome is AttemptOutcome.FINISHED or self.status.failure is not None:
            return
        self._empty_attempts += 1
        lost = outcome in (AttemptOutcome.DIED, AttemptOutcome.SILENT)
        if lost and self._runner.reached:
            await self._wait_to_continue(engine)
        else:
            await self._wait_to_retry(engine)

    async def _wait_to_continue(self, engine: Endpoint) -> None:
        # The first attempt after a loss starts without backoff, since the caller is waiting.
        if self._empty_attempts > 1:
            wait = min(EMPTY_ATTEMPT_BACKOFF * 2**self._empty_attempts, MAX_EMPTY_ATTEMPT_BACKOFF)
            await trio.sleep(wait * random.uniform(0.5, 1.0))
        deadline = self._compute_deadline()
        latest = min(trio.current_time() + CONTINUATION_WAIT, deadline)
        while True:
            now = trio.current_time()
            domain = engine.failure_domain
            decision = self.context.retry_budget.decide_continuation(
                engine.name, domain, now, deadline
            )
            if decision.allowed or now >= latest:
                return
            await trio.sleep_until(min(decision.at or latest, latest))

    async def _wait_to_retry(self, engine: Endpoint) -> None:
        now, deadline = trio.current_time(), self._compute_deadline()
        domain, attempt = engine.failure_domain, max(1, self._empty_attempts)
        decision = self.context.retry_budget.decide_retry(domain, attempt, now, deadline)
        if decision.allowed and decision.at is not None:
            await trio.sleep_until(decision.at)
        elif self.status.record.pieces:
            # A started answer does not fail when the budget is exhausted; it is only delayed.
            await trio.sleep(CONTINUATION_WAIT)
        else:
            message = "The endpoint failed and the budget for retries is used up."
            self.status.fail("retry_budget_exhausted", 503, message)

    def _compute_deadline(self) -> float:
        return trio.current_time() + self.status.record.deadline - time.time()

    async def _handle_no_engine(self, failure: Failure, restricted: bool) -> None:
        if self.routes.excluded:
            # Engines that failed may have recovered while all others were tried.
            self.routes.excluded.clear()
        elif self.status.record.attempt == 0 and not restricted:
            self.status.failure = failure
            return
        await trio.sleep(NO_ENGINE_WAIT)
