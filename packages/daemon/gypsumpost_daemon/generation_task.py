"""The task that owns one generation."""

import random
import time
from collections.abc import Sequence

import trio
from result import Err, Ok

from gypsumpost_core.attempt_outcome import AttemptOutcome
from gypsumpost_core.batch_outcome import BatchOutcome
from gypsumpost_core.endpoint import Endpoint
from gypsumpost_core.failure import Failure
from gypsumpost_core.generation import Generation
from gypsumpost_core.generation_record import GenerationRecord
from gypsumpost_core.model_ref import ModelRef
from gypsumpost_core.piece import Piece
from gypsumpost_core.resumption_policy import ResumptionAction, ResumptionDecision, StreamState
from gypsumpost_core.route_request import RouteRequest
from gypsumpost_core.run_state import RunState
from gypsumpost_core.token_batch import TokenBatch
from gypsumpost_daemon.attempt_body import build_attempt
from gypsumpost_daemon.engine_event import EngineEvent
from gypsumpost_daemon.engine_failure import EngineFailure
from gypsumpost_daemon.engine_stream import EngineStream
from gypsumpost_daemon.generation_context import GenerationContext
from gypsumpost_daemon.log import Log
from gypsumpost_daemon.stall_timer import StallTimer

LOG = Log(prefix="generation")

NO_ENGINE_WAIT = 0.05
"""Seconds before the next try when no engine can take a continuation."""

MAX_FRUITLESS_ATTEMPTS = 8
"""Attempts in a row without a token, after which the generation fails."""

FRUITLESS_WAIT = 0.05
MAX_FRUITLESS_WAIT = 1.0
"""Seconds before the attempt that follows one without a token; they double each time."""

CONNECT_SECONDS = 1.0
"""Longest wait for the head of an engine's response to a resume call."""


class GenerationTask:
    """Runs the attempts of a generation and shows the answer to its readers.

    :param record: the state; with output if it was taken over from another daemon.
    :param route: what routing needs to know about the request.
    :param context: the parts of the daemon that it talks to.
    """

    def __init__(
        self, *, record: GenerationRecord, route: RouteRequest, context: GenerationContext
    ) -> None:
        self.generation = Generation(record=record)
        self.failure: Failure | None = None
        self.moved = False
        self.holders: list[str] = []
        self.readers = 0
        self.unread_since = trio.current_time()
        self.required_length = 0
        self._route = route
        self._context = context
        self._copied: dict[str, int] = {}
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        self._excluded: set[str] = set()
        self._last_token_at = trio.current_time()
        self._resumes = 0
        self._first_token = False
        self._fruitless = 0
        self._timer = StallTimer(
            metrics=context.metrics, started_at=trio.current_time(), resumed=bool(record.pieces)
        )

    @property
    def record(self) -> GenerationRecord:
        """The state of the generation."""
        return self.generation.record

    @property
    def ended(self) -> bool:
        """True if readers will see nothing more than they can read now."""
        return self.moved or self.failure is not None or self.generation.end_committed

    async def run(self) -> None:
        """Run attempts until the answer is whole, fails, or moves to another daemon."""
        self._protect()
        with self._scope:
            await self._run_attempts()
        if self.generation.finished and not self.moved:
            self.record.keep_until = time.time() + self._context.settings.retention
        self._notify()

    def stop(self, failure: Failure | None = None) -> None:
        """End the generation early.

        :param failure: what readers are told; ``None`` if another daemon goes on with it.
        """
        if self.ended:
            return
        if failure is None:
            self.moved = True
        else:
            self.failure = failure
            self._cancel_stream()
        self._scope.cancel()
        self._context.copies.remove(
            self.record.generation_id, self.holders, close=failure is not None
        )
        self._notify()

    async def read(self, offset: int) -> list[Piece]:
        """Wait for the part of the answer after an offset.

        :param offset: output tokens that the reader has.
        :returns: pieces; none if the answer has ended or failed at this offset.
        """
        while True:
            changed = self._changed
            pieces = self.generation.read_pieces(offset)
            if pieces or self.ended:
                return pieces
            await changed.wait()

    def handle_copy(self, host_id: str, length: int) -> None:
        """Note that a holder has the state up to a number of output tokens."""
        if host_id in self.holders:
            self._copied[host_id] = length
            self._commit()

    def handle_stale(self) -> None:
        """Stop, because another daemon has taken the generation over."""
        LOG.write("taken over by another daemon", generation_id=self.record.generation_id)
        self.stop()

    def handle_holder_lost(self, host_id: str) -> None:
        """Choose another holder in place of a lost one."""
        self._context.copies.avoid(host_id)
        others = [holder for holder in self.holders if holder != host_id]
        self._context.copies.remove(self.record.generation_id, others, close=False)
        if not self.moved and self.failure is None:
            self._protect()

    def protect_again(self) -> None:
        """Look for a holder again if there was none."""
        if not self.holders and not self.ended:
            self._protect()

    def _protect(self) -> None:
        self._copied.clear()
        self.holders = self._context.copies.add(self)
        self._commit()

    def _commit(self) -> None:
        lengths = [self._copied.get(holder, 0) for holder in self.holders]
        length = min(lengths, default=self.record.length)
        if length > self.generation.committed or self.generation.finished:
            self.generation.commit(length)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _run_attempts(self) -> None:
        if self.record.attempt and not self.generation.finished:
            await self._resume_stream()
        while not self.generation.finished and self.failure is None:
            if self._is_late():
                self._fail("deadline_exceeded", 504, "The request's deadline has passed.")
            elif self.required_length > self.record.length:
                self._fail("state_lost", 409, "The answer cannot be continued without a gap.")
            elif self._fruitless >= MAX_FRUITLESS_ATTEMPTS:
                self._fail("engines_failed", 502, "No engine could go on with the answer.")
            else:
                await self._run_attempt()

    def _is_late(self) -> bool:
        return time.time() >= self.record.deadline

    async def _run_attempt(self) -> None:
        now = trio.current_time()
        route = self._describe_attempt()
        chosen = self._context.router.choose(route, now)
        if isinstance(chosen, Err):
            await self._handle_no_engine(chosen.err_value)
            return
        engine = chosen.ok_value
        plan = self.generation.begin_attempt(engine, _find_exact(engine, route))
        path, body = build_attempt(self.record, plan)
        headers = {"x-request-id": plan.stream_id, "content-type": "application/json"}
        LOG.write("attempt started", **self._describe_state())
        self._context.router.record_start(engine.name, route, now)
        bound = self._context.router.compute_first_token_bound(engine.name, route)
        self._last_token_at, self._first_token, self._resumes = now, True, 0
        opened = await self._context.engines.open(engine.address, path, headers, body, now + bound)
        outcome = AttemptOutcome.CANCELLED
        try:
            if isinstance(opened, Ok):
                outcome = await self._read_streams(opened.ok_value, route)
            else:
                outcome = self._judge_refusal(opened.err_value)
        finally:
            self._context.router.record_end(engine.name, route, outcome, trio.current_time())
            self._context.metrics.record_attempt(outcome)
            if outcome is not AttemptOutcome.FINISHED and not self.moved:
                self._cancel_stream()
        if outcome is not AttemptOutcome.FINISHED:
            self._timer.note_loss(self._last_token_at)
            LOG.write("attempt ended", outcome=outcome.value, **self._describe_state())
            self._excluded.add(engine.name)
            await self._back_off()

    async def _back_off(self) -> None:
        # The first attempt after a loss starts at once, since the caller is waiting.
        self._fruitless += 1
        if self._fruitless > 1:
            wait = min(FRUITLESS_WAIT * 2**self._fruitless, MAX_FRUITLESS_WAIT)
            await trio.sleep(wait * random.uniform(0.5, 1.0))

    async def _handle_no_engine(self, failure: Failure) -> None:
        if self._excluded:
            # Engines that failed may have come back while all others were tried.
            self._excluded.clear()
        elif self.record.attempt == 0:
            self.failure = failure
            return
        await trio.sleep(NO_ENGINE_WAIT)

    async def _resume_stream(self) -> None:
        stream = await self._open_stream_again()
        if isinstance(stream, Err):
            LOG.write("stream not resumed", reason=str(stream.err_value), **self._describe_state())
            self._cancel_stream()
            return
        LOG.write("stream resumed", **self._describe_state())
        route = self._describe_attempt()
        outcome = AttemptOutcome.CANCELLED
        try:
            outcome = await self._read_streams(stream.ok_value, route)
        finally:
            if outcome is not AttemptOutcome.FINISHED and not self.moved:
                self._cancel_stream()
        self._timer.note_loss(self._last_token_at)

    async def _open_stream_again(self) -> Ok[EngineStream] | Err[EngineFailure]:
        offset = self.generation.resume_stream()
        path = f"/v1/streams/{self.record.stream_id}?offset={offset}"
        deadline = trio.current_time() + CONNECT_SECONDS
        return await self._context.engines.open(
            self.record.engine_address, path, {}, None, deadline
        )

    async def _read_streams(self, stream: EngineStream, route: RouteRequest) -> AttemptOutcome:
        """Read the attempt's stream, resumed as often as the policy says."""
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
            self._resumes += 1
            self._timer.note_loss(self._last_token_at)
            opened = await self._open_stream_again()
            if isinstance(opened, Err):
                return outcome
            stream = opened.ok_value

    async def _read_stream(self, stream: EngineStream, route: RouteRequest) -> AttemptOutcome:
        check_at = 0.0
        while True:
            with trio.move_on_at(max(check_at, self._find_silence_end(route))) as scope:
                received = await stream.receive()
            if scope.cancelled_caught:
                decision = self._decide(connected=True)
                if decision.action is not ResumptionAction.WAIT:
                    return AttemptOutcome.SILENT
                check_at = decision.check_at
                continue
            check_at = 0.0
            if isinstance(received, Err):
                return AttemptOutcome.DIED
            outcome = self._take_events(received.ok_value, route)
            if outcome is not None:
                return outcome

    def _take_events(
        self, events: Sequence[EngineEvent], route: RouteRequest
    ) -> AttemptOutcome | None:
        count = 0
        for event in events:
            if event.done:
                break
            batch = _create_batch(event, self.record.attempt)
            outcome = self.generation.accept(batch)
            if outcome is BatchOutcome.LOST or event.finish_reason == "cancelled":
                return AttemptOutcome.DIED
            count += len(event.token_ids)
            if outcome is BatchOutcome.FINISHED:
                self._stop_engine_early(event)
                break
        if count:
            self._record_tokens(count, route)
        self._context.copies.mark_changed(self.record.generation_id, self.holders)
        if not self.holders:
            self._commit()
        return AttemptOutcome.FINISHED if self.generation.finished else None

    def _stop_engine_early(self, event: EngineEvent) -> None:
        if event.finish_reason is None:
            self._cancel_stream()

    def _record_tokens(self, count: int, route: RouteRequest) -> None:
        now = trio.current_time()
        self._timer.note_tokens(now)
        gap = now - self._last_token_at
        if self._first_token:
            self._context.router.record_first_token(self.record.engine, route, gap, now)
        else:
            self._context.router.record_tokens(self.record.engine, count, gap, now)
        self._first_token = False
        self._last_token_at = now
        self._resumes = 0
        self._fruitless = 0

    def _find_silence_end(self, route: RouteRequest) -> float:
        router = self._context.router
        if self._first_token:
            return self._last_token_at + router.compute_first_token_bound(self.record.engine, route)
        return self._last_token_at + router.compute_silence_bound(self.record.engine)

    def _decide(self, connected: bool) -> ResumptionDecision:
        now = trio.current_time()
        router, name = self._context.router, self.record.engine
        route = self._describe_attempt(excluding=name)
        return self._context.resumption.decide(
            StreamState(
                now=now,
                last_token_at=self._last_token_at,
                connected=connected,
                engine_down=router.is_down(name, now),
                resumes=self._resumes,
                silence_bound=self._find_silence_end(route) - self._last_token_at,
                mean_gap=router.get_mean_gap(name),
                elsewhere_time=router.expect_elsewhere(route, now),
                prompt_tokens=len(self.record.prompt_token_ids),
                output_tokens=self.record.length,
                deadline=now + self.record.deadline - time.time(),
            )
        )

    def _judge_refusal(self, failure: EngineFailure) -> AttemptOutcome:
        if failure.status is not None and 400 <= failure.status < 500 and failure.status != 404:
            self._fail("engine_refused", failure.status, "The engine refused the request.")
            return AttemptOutcome.REFUSED
        return AttemptOutcome.REFUSED if failure.status is not None else AttemptOutcome.DIED

    def _fail(self, code: str, status: int, message: str) -> None:
        state = RunState.RUN if self.record.attempt else RunState.NOT_RUN
        self.failure = Failure(status=status, code=code, message=message, run_state=state)
        LOG.write("failed", code=code, **self._describe_state())

    def _cancel_stream(self) -> None:
        if self.record.attempt:
            self._context.canceller.cancel(self.record.engine_address, self.record.stream_id)

    def _describe_attempt(self, excluding: str = "") -> RouteRequest:
        record, route = self.record, self._route
        excluded = self._excluded | {excluding} if excluding else self._excluded
        prompt = len(record.prompt_token_ids) + record.length or route.prompt_tokens
        return RouteRequest(
            workspace=route.workspace,
            model=route.model,
            exact=record.exact if record.pieces else None,
            prompt_tokens=prompt,
            max_tokens=record.max_tokens - record.length,
            prefix_digests=route.prefix_digests,
            fingerprint=route.fingerprint,
            priority=record.priority,
            excluded=frozenset(excluded),
        )

    def _describe_state(self) -> dict[str, str | int]:
        record = self.record
        return {
            "request_id": record.request_id,
            "generation_id": record.generation_id,
            "workspace": record.workspace,
            "attempt": record.attempt,
            "epoch": record.epoch,
            "endpoint": record.engine,
            "offset": record.length,
        }


def _find_exact(engine: Endpoint, route: RouteRequest) -> ModelRef:
    if route.exact is not None:
        return route.exact
    return next(ref for ref in engine.models if ref.model == route.model)


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
