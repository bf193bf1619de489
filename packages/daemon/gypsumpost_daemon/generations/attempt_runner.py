"""Runs one attempt of a generation on an engine."""

import attrs
import trio
from result import Err, Ok

from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_stream import EngineStream
from gypsumpost_daemon.generations.attempt_body import build_attempt_request
from gypsumpost_daemon.generations.attempt_reader import AttemptReader
from gypsumpost_daemon.generations.attempt_route import AttemptRoute, find_model_ref
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_status import GenerationStatus
from gypsumpost_daemon.telemetry.log import Log

SUCCESS = 200

LOG = Log(prefix="generation")


@attrs.define(kw_only=True)
class AttemptRunner:
    """Sends an attempt, reads its output and records its outcome.

    :param status: the generation and its outcome.
    :param routes: builds the routing requests of attempts.
    :param reader: reads the attempt's stream.
    :param context: the components shared by all generation tasks.
    """

    status: GenerationStatus
    routes: AttemptRoute
    reader: AttemptReader
    context: GenerationContext
    reached: bool = attrs.field(default=False, init=False)
    """False if the latest attempt was definitely not run."""

    async def run(self, engine: Endpoint, route: RouteRequest) -> AttemptOutcome:
        """Run the next attempt on an engine.

        :param engine: the chosen engine.
        :param route: routing request of the attempt.
        """
        now = trio.current_time()
        crash_guard, fingerprint = self.context.crash_guard, route.fingerprint
        boot_id = crash_guard.record_start(fingerprint, engine.name, now)
        self.reached = True
        outcome = AttemptOutcome.CANCELLED
        try:
            opened = await self._open(engine, route, now)
            if isinstance(opened, Ok):
                self.status.may_have_run = True
                outcome = await self.reader.read(opened.ok_value, route)
            else:
                outcome = self._classify_failure(opened.err_value)
                if not self.reached:
                    # The request did not reach the engine, so it cannot have crashed it.
                    crash_guard.record_end(fingerprint, engine.name, AttemptOutcome.REFUSED, now)
            if outcome is AttemptOutcome.DIED:
                await crash_guard.confirm_death(engine.name, engine.address, boot_id)
                if self.reached:
                    progress = self.reader.describe_progress(trio.current_time() - now)
                    crash_guard.record_crash(route, engine, boot_id, progress)
            elif outcome is AttemptOutcome.FINISHED and self.reader.has_output:
                crash_guard.record_survival(route)
        finally:
            self.context.metrics.record_attempt(outcome)
            ended_at = trio.current_time()
            self.context.router.record_end(engine.name, route, outcome, ended_at)
            if self.reached:
                crash_guard.record_end(fingerprint, engine.name, outcome, ended_at)
            self._cancel_unfinished(outcome)
        if outcome is not AttemptOutcome.FINISHED:
            self.reader.record_loss()
            LOG.write("attempt ended", outcome=outcome.value, **self.status.describe())
            self.routes.excluded.add(engine.name)
        return outcome

    async def resume(self) -> None:
        """Resume the stream of an attempt that another daemon started."""
        stream = await self.reader.reopen()
        if isinstance(stream, Err):
            reason = str(stream.err_value)
            LOG.write("stream not resumed", reason=reason, **self.status.describe())
            self.reader.cancel_stream()
            return
        LOG.write("stream resumed", **self.status.describe())
        outcome = AttemptOutcome.CANCELLED
        try:
            outcome = await self.reader.read(stream.ok_value, self.routes.describe())
            if outcome is AttemptOutcome.DIED:
                await self._confirm_lost_engine()
        finally:
            self._cancel_unfinished(outcome)
        self.reader.record_loss()

    async def _confirm_lost_engine(self) -> None:
        record = self.status.record
        boot_id = self.context.router.get_boot_id(record.engine) or ""
        await self.context.crash_guard.confirm_death(record.engine, record.engine_address, boot_id)

    async def _open(
        self, engine: Endpoint, route: RouteRequest, now: float
    ) -> Ok[EngineStream] | Err[EngineFailure]:
        plan = self.status.generation.begin_attempt(engine, find_model_ref(engine, route))
        path, body = build_attempt_request(self.status.record, plan)
        headers = {"x-request-id": plan.stream_id, "content-type": "application/json"}
        LOG.write("attempt started", **self.status.describe())
        router = self.context.router
        router.record_start(engine.name, route, now)
        bound = router.compute_first_token_bound(engine.name, route)
        self.reader.begin(now)
        opened = await self.context.engines.open(engine.address, path, headers, body, now + bound)
        self._observe(engine, opened, now)
        return opened

    def _observe(
        self, engine: Endpoint, opened: Ok[EngineStream] | Err[EngineFailure], sent_at: float
    ) -> None:
        """Apply what an engine says about itself in the head of its answer."""
        if isinstance(opened, Ok):
            status, headers = SUCCESS, opened.ok_value.headers
        elif opened.err_value.status is not None:
            status, headers = opened.err_value.status, opened.err_value.headers
        else:
            return  # It has not answered.
        self.context.signals.observe(engine, status, headers, sent_at)

    def _cancel_unfinished(self, outcome: AttemptOutcome) -> None:
        if outcome is not AttemptOutcome.FINISHED and not self.status.moved:
            self.reader.cancel_stream()

    def _classify_failure(self, failure: EngineFailure) -> AttemptOutcome:
        self.reached = failure.may_have_run
        self.status.may_have_run |= failure.may_have_run
        if failure.status is not None and 400 <= failure.status < 500 and failure.status != 404:
            self.status.fail("engine_refused", failure.status, "The engine refused the request.")
            return AttemptOutcome.REFUSED
        return AttemptOutcome.REFUSED if failure.status is not None else AttemptOutcome.DIED
