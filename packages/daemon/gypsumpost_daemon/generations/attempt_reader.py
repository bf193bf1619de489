"""Reads the stream of an attempt and detects the loss of its engine."""

import time
from collections.abc import Callable, Sequence

import attrs
import trio
from result import Err, Ok

from gypsumpost_core.crashes.run_progress import SURVIVAL_SECONDS, RunProgress
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.generations.batch_outcome import BatchOutcome
from gypsumpost_core.generations.resumption_policy import (
    ResumptionAction,
    ResumptionDecision,
    StreamState,
)
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_daemon.engines.engine_event import EngineEvent
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_stream import EngineStream
from gypsumpost_daemon.generations.attempt_route import AttemptRoute
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_status import GenerationStatus
from gypsumpost_daemon.generations.stall_timer import StallTimer

CONNECT_SECONDS = 0.3
"""Timeout for the response headers of a request that resumes a stream.

An engine answers within milliseconds. After a takeover the caller waits for this response.
"""

CANCELLED_BY_ENGINE = "cancelled"
"""Finish reason of a stream that its engine cancelled; it does not end the answer."""


@attrs.define(kw_only=True)
class AttemptReader:
    """Adds the output of a stream to the generation and checks the stream for silence.

    :param status: the generation and its outcome.
    :param routes: builds the routing requests of attempts.
    :param context: the components shared by all generation tasks.
    :param handle_output: called after output was added to the generation.
    :param timer: measures stalls.
    """

    status: GenerationStatus
    routes: AttemptRoute
    context: GenerationContext
    handle_output: Callable[[], None]
    timer: StallTimer
    has_output: bool = attrs.field(default=False, init=False)
    action: ResumptionAction = attrs.field(default=ResumptionAction.CONTINUE, init=False)
    _last_token_at: float = attrs.field(factory=trio.current_time, init=False)
    _resume_count: int = attrs.field(default=0, init=False)
    _awaiting_first_token: bool = attrs.field(default=False, init=False)
    _first_token_at: float | None = attrs.field(default=None, init=False)
    _survived: bool = attrs.field(default=False, init=False)

    def begin(self, now: float) -> None:
        """Reset the timers for a new attempt that is about to be sent.

        :param now: monotonic time in seconds.
        """
        self._last_token_at, self._awaiting_first_token, self._resume_count = now, True, 0
        self._first_token_at, self._survived = None, False

    def describe_progress(self, sent_seconds: float) -> RunProgress:
        """Return how far the current attempt has come.

        :param sent_seconds: time since it was sent.
        """
        first = self._first_token_at
        written = None if first is None else self._last_token_at - first
        return RunProgress(sent_seconds=sent_seconds, written_seconds=written)

    async def reopen(self) -> Ok[EngineStream] | Err[EngineFailure]:
        """Open the stream of the current attempt at the first missing token.

        Fails if the engine sends no response headers within ``CONNECT_SECONDS``.
        """
        offset = self.status.generation.resume_stream()
        record = self.status.record
        path = f"/v1/streams/{record.stream_id}?offset={offset}"
        deadline = trio.current_time() + CONNECT_SECONDS
        return await self.context.engines.open(record.engine_address, path, {}, None, deadline)

    async def read(self, stream: EngineStream, route: RouteRequest) -> AttemptOutcome:
        """Read the attempt's stream, and resume it as often as the policy decides.

        :param stream: the open stream; closed on return.
        :param route: routing request of the attempt.
        """
        while True:
            try:
                outcome = await self._read_stream(stream, route)
            finally:
                with trio.CancelScope(shield=True):
                    await stream.aclose()
            if outcome is not AttemptOutcome.DIED:
                return outcome
            if self._decide(connected=False).action is not ResumptionAction.RESUME:
                return outcome
            self._resume_count += 1
            self.record_loss()
            opened = await self.reopen()
            if isinstance(opened, Err):
                return outcome
            stream = opened.ok_value

    def record_loss(self) -> None:
        """Record the loss of the current stream."""
        self.timer.record_loss(self._last_token_at)

    def cancel_stream(self) -> None:
        """Cancel the stream of the current attempt on its engine, if there is one."""
        record = self.status.record
        if record.attempt:
            self.context.canceller.cancel(record.engine_address, record.stream_id)

    async def _read_stream(self, stream: EngineStream, route: RouteRequest) -> AttemptOutcome:
        check_at = 0.0
        while True:
            with trio.move_on_at(max(check_at, self._compute_silence_deadline(route))) as scope:
                return await self._read_events(stream, route, scope)
            decision = self._decide(connected=True)
            if decision.action is not ResumptionAction.WAIT:
                return AttemptOutcome.SILENT
            check_at = decision.check_at

    async def _read_events(
        self, stream: EngineStream, route: RouteRequest, scope: trio.CancelScope
    ) -> AttemptOutcome:
        # Moving the deadline of one cancel scope is cheaper than a new scope for each read.
        while True:
            received = await stream.receive()
            if isinstance(received, Err):
                return AttemptOutcome.DIED
            outcome = self._handle_events(received.ok_value, route)
            if outcome is not None:
                return outcome
            scope.deadline = self._compute_silence_deadline(route)

    def _handle_events(
        self, events: Sequence[EngineEvent], route: RouteRequest
    ) -> AttemptOutcome | None:
        count = 0
        generation = self.status.generation
        for event in events:
            if event.done:
                break
            if event.finish_reason == CANCELLED_BY_ENGINE:
                return AttemptOutcome.DIED
            outcome = generation.accept(_create_batch(event, self.status.record.attempt))
            if outcome is BatchOutcome.LOST:
                return AttemptOutcome.DIED
            count += len(event.token_ids)
            if outcome is BatchOutcome.FINISHED:
                self._cancel_if_engine_continues(event)
                break
        if count:
            self._record_tokens(count, route)
        self.handle_output()
        return AttemptOutcome.FINISHED if generation.finished else None

    def _cancel_if_engine_continues(self, event: EngineEvent) -> None:
        if event.finish_reason is None:
            self.cancel_stream()

    def _record_tokens(self, count: int, route: RouteRequest) -> None:
        now = trio.current_time()
        self.timer.record_arrival(now)
        gap = now - self._last_token_at
        engine = self.status.record.engine
        if self._awaiting_first_token:
            self.context.router.record_first_token(engine, route, gap, now)
            self._report_first_token(gap)
            self._first_token_at = now
        else:
            self.context.router.record_tokens(engine, count, gap, now)
        self._awaiting_first_token = False
        self._last_token_at = now
        self._resume_count = 0
        self.has_output = True
        first = self._first_token_at
        if not self._survived and first is not None and now - first >= SURVIVAL_SECONDS:
            self._survived = True
            self.context.crash_guard.record_survival(route)

    def _report_first_token(self, wait: float) -> None:
        record = self.status.record
        if record.attempt == 1:
            self.context.admission.observe_first_token(record.model, wait)

    def _compute_silence_deadline(self, route: RouteRequest) -> float:
        router, engine = self.context.router, self.status.record.engine
        if self._awaiting_first_token:
            return self._last_token_at + router.compute_first_token_bound(engine, route)
        return self._last_token_at + router.compute_silence_bound(engine)

    def _decide(self, connected: bool) -> ResumptionDecision:
        now = trio.current_time()
        record = self.status.record
        router, name = self.context.router, record.engine
        route = self.routes.describe(frozenset({name}))
        decision = self.context.resumption.decide(
            StreamState(
                now=now,
                last_token_at=self._last_token_at,
                connected=connected,
                engine_down=router.is_down(name, now),
                resumes=self._resume_count,
                silence_bound=self._compute_silence_deadline(route) - self._last_token_at,
                mean_gap=router.get_mean_gap(name),
                elsewhere_time=router.estimate_first_token_elsewhere(route, now),
                prompt_tokens=len(record.prompt_token_ids),
                output_tokens=record.length,
                deadline=now + record.deadline - time.time(),
            )
        )
        self.action = decision.action
        return decision


def _create_batch(event: EngineEvent, attempt: int) -> TokenBatch:
    prompt = event.prompt_token_ids
    return TokenBatch(
        attempt=attempt,
        offset=event.offset,
        token_ids=tuple(event.token_ids),
        text=event.text,
        prompt_token_ids=None if prompt is None else tuple(prompt),
        finish_reason=event.finish_reason,
    )
