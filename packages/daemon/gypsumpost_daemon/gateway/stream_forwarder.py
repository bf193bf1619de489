"""Forwards event streams and resumes them on another engine when one is lost."""

import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.next_copy import FailedAttempt, NextCopy, choose_next_copy
from gypsumpost_core.gateway.no_endpoint import NoEndpoint
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.stream_usage import StreamUsage
from gypsumpost_core.prefill.pacing_condition import is_paced
from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.gateway.copy_renewal import CopyRenewal
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.forwarder import FORWARDERS
from gypsumpost_daemon.gateway.stream_attempt import StreamAttempt
from gypsumpost_daemon.gateway.stream_engines import ENGINE_WAIT_FRACTION, StreamEngines
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.telemetry.log import Log

BUDGET_WAIT_SECONDS = 1.5
"""How long a started stream waits for the retry budget; callers disconnect after two seconds."""

BUDGET_CHECK_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0
REFUSAL_PAUSE_SECONDS = 0.02
"""Minimum time between two attempts that engines refuse for lack of capacity."""

LAST_SEND_SECONDS = 0.1
"""Time before its deadline from which on a request that has not run is not sent again: nobody could
tell whether an attempt has run that the deadline ends."""

LOG = Log(prefix="stream")


@FORWARDERS.register(RequestKind.STREAM.value)
class StreamForwarder:
    """Runs a stream on one engine after another until it is complete.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context
        self._engines = StreamEngines(context=context)

    async def forward(self, call: CallerCall, exchange: CallerExchange) -> None:
        """Answer the request.

        :param call: the request.
        :param exchange: the caller's side.
        """
        progress = StreamProgress(
            last_event_id=call.last_event_id,
            usage=StreamUsage(
                engine="",
                prompt_tokens=call.prompt_tokens,
                total_tokens=call.prompt_tokens + call.output_tokens,
            ),
        )
        end: NoEndpoint | None = None
        complete = False
        try:
            with trio.move_on_at(call.deadline):
                await self._take_over(call, progress)
                end = await self._run_attempts(call, exchange, progress)
                complete = end is None
                if complete:
                    self._log_end(call, progress)
                    return
        finally:
            call.versions.record_outcome(None)
            self._context.usage.drop(progress.usage)
            self._drop_copy(call, progress, complete)
        if trio.current_time() >= call.deadline:
            end = NoEndpoint(reason="the deadline has passed")
        assert end is not None
        await self._refuse(call, exchange, progress, end)

    def _drop_copy(self, call: CallerCall, progress: StreamProgress, complete: bool) -> None:
        # A caller that has received no event comes back with a new request.
        if complete or not progress.events:
            self._context.copies.drop(call.request_id)
        else:
            now = trio.current_time()
            self._context.copies.drop_broken(call.request_id, progress.last_event_id, now)

    async def _run_attempts(
        self, call: CallerCall, exchange: CallerExchange, progress: StreamProgress
    ) -> NoEndpoint | None:
        """Return ``None`` once the stream is complete, else why it cannot continue."""
        tried: set[str] = set()
        while True:
            stop_reason = await self._find_stop_reason(call, progress)
            if stop_reason:
                return NoEndpoint(reason=stop_reason)
            copy = call.versions.choose_copy(progress.copy)
            state = await self._engines.acquire_copy_holder(copy)
            if state is None:
                copy = None
                limits = self._find_limits(call)
                if limits is None:
                    return NoEndpoint()
                chosen = await self._engines.choose(call, progress, limits, tried)
                if isinstance(chosen, Err):
                    return chosen.err_value
                state = chosen.ok_value
            # Peers may have reported crashes while the stream waited for an engine.
            if self._context.crash_guard.find_cause(call) is not None:
                return NoEndpoint(reason="endpoints crash on it")
            if self._is_too_late(call, progress):
                return NoEndpoint(reason="the deadline is too near")
            events = progress.events
            call.versions.record_sent(state.record)
            outcome = await self._run_attempt(call, exchange, progress, state, copy, tried)
            if isinstance(outcome, Ok):
                call.run.end_send(may_have_run=True)
                state.observe_outcome(failed=False)
                call.versions.record_outcome(AnswerOutcome.SERVED)
                return None
            failure = outcome.err_value
            call.versions.record_outcome(failure.outcome)
            self._record_failure(call, progress, state, failure, copy is not None)
            if not state.lost and (failure.may_have_run or copy is None):
                tried.add(state.record.endpoint_id)
            self._find_next_copy(call, progress, state, copy, failure, progress.events > events)
            if failure.may_have_run and not call.route.resumable:
                return NoEndpoint(reason=failure.reason)
            if failure.sent and not failure.may_have_run and copy is None:
                await trio.sleep(REFUSAL_PAUSE_SECONDS)

    async def _find_stop_reason(self, call: CallerCall, progress: StreamProgress) -> str:
        """Return why no further attempt is allowed, or an empty string."""
        if progress.failed_sends >= call.route.max_attempts:
            return "all attempts are used"
        if self._context.crash_guard.find_cause(call) is not None:
            return "endpoints crash on it"
        if progress.failed_sends and not await self._acquire_retry(call, progress):
            return "the retry budget is spent"
        return ""

    def _is_too_late(self, call: CallerCall, progress: StreamProgress) -> bool:
        """Return true if a request that has not run would be sent again close to its deadline."""
        due = trio.current_time() >= call.deadline - LAST_SEND_SECONDS
        return due and progress.failed_sends > 0 and not call.run.may_have_run

    def _record_failure(
        self,
        call: CallerCall,
        progress: StreamProgress,
        state: EndpointState,
        failure: AttemptFailure,
        from_copy: bool,
    ) -> None:
        self._context.metrics.count_attempt(
            call.service, "lost" if failure.may_have_run else "not-run"
        )
        progress.failed_sends += failure.sent
        call.run.end_send(may_have_run=failure.may_have_run)
        if failure.may_have_run and not state.lost:
            state.observe_outcome(failed=True)
        LOG.write(
            "an attempt ended",
            request_id=call.request_id,
            endpoint=state.record.endpoint_id,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            engine_lost=state.lost,
            from_copy=from_copy,
            events=progress.events,
        )

    def _find_next_copy(
        self,
        call: CallerCall,
        progress: StreamProgress,
        state: EndpointState,
        copy: CopySource | None,
        failure: AttemptFailure,
        made_progress: bool,
    ) -> None:
        chosen = choose_next_copy(
            FailedAttempt(
                may_have_run=failure.may_have_run,
                engine_lost=state.lost,
                from_copy=copy is not None,
                copy_retried=progress.copy_retried,
                made_progress=made_progress,
                started=bool(progress.events),
            )
        )
        progress.copy_retried = chosen is NextCopy.SAME and copy is not None
        if chosen is NextCopy.NONE:
            progress.copy = None
        elif chosen is NextCopy.NEWEST:
            progress.copy = progress.newest_copy

    async def _acquire_retry(self, call: CallerCall, progress: StreamProgress) -> bool:
        """Take a retry from the budget, waiting a while for it; return false if none is left."""
        now = trio.current_time()
        wait_deadline = call.received_at + ENGINE_WAIT_FRACTION * call.route.objective
        if progress.events:
            wait_deadline = now + BUDGET_WAIT_SECONDS
        while not self._context.try_acquire_stream_retry(call.service):
            if trio.current_time() >= wait_deadline:
                return False
            await trio.sleep(BUDGET_CHECK_SECONDS)
        return True

    def _log_end(self, call: CallerCall, progress: StreamProgress) -> None:
        self._context.metrics.count_attempt(call.service, "answered")
        first = (progress.first_event_at or trio.current_time()) - call.received_at
        LOG.write(
            "complete",
            request_id=call.request_id,
            events=progress.events,
            attempts=progress.failed_sends + 1,
            first_event_seconds=round(first, 3),
            longest_gap=round(progress.longest_gap, 3),
            prompt_tokens=call.prompt_tokens,
        )

    async def _take_over(self, call: CallerCall, progress: StreamProgress) -> None:
        """Let the stream go on from its copy if its caller comes back."""
        stream = await self._context.takeover.find(call)
        if stream is None:
            return
        handle = stream.report.request_id
        progress.continues = handle
        state = self._context.directory.fleet.find(stream.report.copy_engine)
        if state is None or not self._context.copies.has_copy(stream, trio.current_time()):
            return
        holder = state.record
        progress.copy = CopySource(holder=holder, address=holder.address, handle=handle)

    async def _run_attempt(
        self,
        call: CallerCall,
        exchange: CallerExchange,
        progress: StreamProgress,
        state: EndpointState,
        copy: CopySource | None,
        tried: set[str],
    ) -> Result[None, AttemptFailure]:
        limits = self._find_limits(call)
        self._context.usage.drop(progress.usage)
        choice = self._context.create_choice(call)
        target = renewal = None
        paced = limits is not None and is_paced(call.route, limits, progress.usage.total_tokens)
        if limits is not None:
            target = choice.choose_copy_holder(
                call.service,
                limits,
                engine=state,
                total_tokens=progress.usage.total_tokens,
                tried=tried,
                only_with_room=paced,
            )
        if limits is not None and limits.copy_seconds and (paced or target is not None):
            renewal = CopyRenewal(
                context=self._context, call=call, progress=progress, state=state, limits=limits
            )
        attempt = StreamAttempt(
            context=self._context,
            call=call,
            exchange=exchange,
            progress=progress,
            state=state,
            copy=copy,
            target=target.record if target else None,
            renewal=renewal,
            prefill_tokens=choice.count_prefill(state, 0 if copy else call.prompt_tokens),
        )
        return await attempt.run()

    def _find_limits(self, call: CallerCall) -> EngineLimits | None:
        routes = self._context.directory.routes
        service = routes.find_service(call.service) if routes else None
        return service.engine if service else None

    async def _refuse(
        self, call: CallerCall, exchange: CallerExchange, progress: StreamProgress, end: NoEndpoint
    ) -> None:
        reason = end.reason
        LOG.write(
            "gave up",
            request_id=call.request_id,
            reason=reason,
            may_have_run=call.run.may_have_run,
            events=progress.events,
            budget_left=self._context.compute_budget_left(call.service),
        )
        past_deadline = trio.current_time() >= call.deadline
        if call.run.may_have_run:
            text = f"The engines gave no whole answer: {reason}."
            await exchange.refuse(504 if past_deadline else 502, text, RunState.UNKNOWN)
        else:
            text = f"The request has not run: {reason}."
            retry_after = self._context.compute_retry_after(
                call.service, end.opens_at, RETRY_AFTER_SECONDS
            )
            await exchange.refuse(503, text, RunState.NOT_RUN, retry_after)
