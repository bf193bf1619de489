"""Forwards requests that get one complete response rather than a stream."""

import trio
from result import Err, Ok, Result

from gypsumpost_core.crashes.run_progress import RunProgress
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.no_endpoint import NoEndpoint
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.engines.h11_engine_connection import connect
from gypsumpost_daemon.gateway.answer_check import check_answer
from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.call_endpoints import CallEndpoints
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.gateway.endpoint_answer import EndpointAnswer
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.forwarder import FORWARDERS
from gypsumpost_daemon.gateway.message_headers import select_response_headers
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose
from gypsumpost_daemon.telemetry.log import Log

CONNECT_SECONDS = 0.08
"""Several round trips; then another endpoint is tried, which is safe since nothing was sent."""

MAX_CONNECTS = 6
FIRST_ATTEMPT_FRACTION = 0.4
"""Fraction of the remaining time after which an attempt times out if another one may follow; the
timeout is at least the route's objective."""

RETRY_AFTER_SECONDS = 0.1
MAX_ANSWER_BYTES = 1 << 24
"""Answers are passed on whole, and a faulty endpoint may send bytes without end."""

SERVER_ERROR_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller concludes that its request has not run. They are not passed on from
an endpoint whose answer does not say so in its not-run header."""

LOG = Log(prefix="call")


@FORWARDERS.register(RequestKind.IDEMPOTENT.value)
@FORWARDERS.register(RequestKind.NON_IDEMPOTENT.value)
class CallForwarder:
    """Sends a call to one endpoint and retries it at another one where that is safe.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context
        self._endpoints = CallEndpoints(context=context)

    async def forward(self, call: CallerCall, exchange: CallerExchange) -> None:
        """Answer the request.

        :param call: the request.
        :param exchange: the caller's side.
        """
        tried: set[str] = set()
        connects = sends = 0
        last: EndpointAnswer | None = None
        reason = ""
        no_endpoint = NoEndpoint()
        while trio.current_time() < call.deadline and connects < MAX_CONNECTS:
            if sends >= call.route.max_attempts:
                break
            if sends and self._context.crash_guard.find_cause(call) is not None:
                reason = "endpoints crash on it"
                break
            if sends and not await self._context.try_acquire_call_retry(call.service):
                reason = "the retry budget is spent"
                break
            chosen = await self._endpoints.choose(call, tried)
            if isinstance(chosen, Err):
                no_endpoint = chosen.err_value
                break
            state = chosen.ok_value
            connects += 1
            tried.add(state.record.endpoint_id)
            attempt_deadline = self._compute_attempt_deadline(call, sends)
            outcome = await self._send(call, state, attempt_deadline)
            if isinstance(outcome, Ok):
                sends += 1
                self._context.crash_guard.record_survival(call)
                last = outcome.ok_value
                call.run.end_send(may_have_run=True)
                if last.status < SERVER_ERROR_STATUS or not call.route.retryable:
                    break
                continue
            sends += outcome.err_value.sent
            call.run.end_send(may_have_run=outcome.err_value.may_have_run)
            reason = outcome.err_value.reason
            LOG.write(
                "an attempt failed",
                request_id=call.request_id,
                endpoint=state.record.endpoint_id,
                reason=reason,
                may_have_run=outcome.err_value.may_have_run,
            )
            if outcome.err_value.may_have_run and not call.route.retryable:
                break
        if last is not None:
            LOG.write(
                "answered",
                request_id=call.request_id,
                route=call.route.name,
                status=last.status,
                endpoints=sorted(tried),
                seconds=round(trio.current_time() - call.received_at, 4),
            )
            self._context.metrics.record_answer(trio.current_time() - call.received_at)
            await exchange.respond(last.status, select_response_headers(last.headers), last.body)
            return
        await self._refuse(call, exchange, reason or no_endpoint.reason, no_endpoint.opens_at)

    async def _refuse(
        self, call: CallerCall, exchange: CallerExchange, reason: str, opens_at: float | None
    ) -> None:
        may_have_run = call.run.may_have_run
        past_deadline = trio.current_time() >= call.deadline
        LOG.write(
            "gave up" if may_have_run else "refused",
            request_id=call.request_id,
            route=call.route.name,
            reason=reason,
            may_have_run=may_have_run,
            endpoints=len(self._context.directory.fleet.list_service(call.service)),
            store_lost=self._context.directory.store_lost,
        )
        if not may_have_run:
            text = f"The request has not run: {reason}."
            retry_after = self._context.compute_retry_after(
                call.service, opens_at, RETRY_AFTER_SECONDS
            )
            await exchange.refuse(503, text, RunState.NOT_RUN, retry_after)
        else:
            text = f"The endpoint gave no whole answer: {reason}."
            await exchange.refuse(504 if past_deadline else 502, text, RunState.UNKNOWN)

    def _compute_attempt_deadline(self, call: CallerCall, sends: int) -> float:
        """Return the monotonic time at which an attempt times out so that another can follow."""
        if not call.route.retryable or sends + 1 >= call.route.max_attempts:
            return call.deadline
        now = trio.current_time()
        return now + max(FIRST_ATTEMPT_FRACTION * (call.deadline - now), call.route.objective)

    async def _send(
        self, call: CallerCall, state: EndpointState, attempt_deadline: float
    ) -> Result[EndpointAnswer, AttemptFailure]:
        started_at = trio.current_time()
        state.pending += 1
        failed = True
        version_outcome: AnswerOutcome | None = None
        call.versions.record_sent(state.record)
        try:
            outcome = await self._exchange(call, state, attempt_deadline)
            version_outcome = find_version_outcome(outcome)
            failed = isinstance(outcome, Err) or outcome.ok_value.status >= SERVER_ERROR_STATUS
            served = find_served(outcome)
            if served is not None:
                state.observe_call_end(served=served, now=trio.current_time())
            self._context.metrics.count_attempt(call.service, describe_outcome(outcome))
            return outcome
        finally:
            state.pending -= 1
            call.versions.record_outcome(version_outcome)
            now = trio.current_time()
            state.observe_answer(now - started_at, failed)
            if not failed:
                state.observe_work(now - started_at, now)

    async def _exchange(
        self, call: CallerCall, state: EndpointState, attempt_deadline: float
    ) -> Result[EndpointAnswer, AttemptFailure]:
        record = state.record
        opened = await connect(
            record.address,
            min(attempt_deadline, trio.current_time() + CONNECT_SECONDS),
            fast_chunks=False,
        )
        if isinstance(opened, Err):
            self._context.monitor.suspect(record, opened.err_value.reason)
            return Err(
                AttemptFailure(reason=opened.err_value.reason, may_have_run=False, sent=False)
            )
        connection = opened.ok_value
        sent_at = trio.current_time()
        self._context.notices.record_request(record, RequestPurpose.CALL)
        try:
            with trio.move_on_at(min(attempt_deadline, call.deadline)):
                request = self._context.create_request(call, record.endpoint_id)
                call.run.begin_send()
                sent = await connection.send(request)
                if isinstance(sent, Err):
                    failure = sent.err_value
                    self._suspect(call, record, failure.reason, sent_at)
                    return Err(
                        AttemptFailure(reason=failure.reason, may_have_run=failure.may_have_run)
                    )
                head = sent.ok_value
                headers = list(head.headers)
                self._context.observe_answer(call, record, head.status_code, headers, sent_at)
                rejected = self._check_head(call, state, head.status_code, headers)
                if rejected is not None:
                    return Err(rejected)
                with self._context.answer_memory.open_share() as share:
                    body = await connection.receive_whole_body(MAX_ANSWER_BYTES, share)
                if connection.unframed and not await self._context.monitor.check(
                    record, "no length"
                ):
                    reason = "the endpoint ended with its answer"
                    return Err(AttemptFailure(reason=reason, may_have_run=True))
                return Ok(EndpointAnswer(status=head.status_code, headers=headers, body=body))
        except OSError as error:
            self._suspect(call, record, str(error), sent_at)
            return Err(AttemptFailure(reason=str(error), may_have_run=True))
        finally:
            connection.close()
        return Err(
            AttemptFailure(
                reason="no answer in time", may_have_run=True, outcome=AnswerOutcome.TIMED_OUT
            )
        )

    def _suspect(
        self, call: CallerCall, record: EndpointRecord, reason: str, sent_at: float
    ) -> None:
        progress = RunProgress(sent_seconds=trio.current_time() - sent_at)

        def handle_loss() -> None:
            self._context.crash_guard.record_crash(call, record, progress)

        self._context.monitor.suspect(record, reason, handle_loss)

    def _check_head(
        self,
        call: CallerCall,
        state: EndpointState,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> AttemptFailure | None:
        """Return why an answer is not passed on; its body, which may be endless, is not needed."""
        failure = check_answer(status, headers, self._context.header_names, call.request_id)
        if failure is None and status in NOT_RUN_STATUSES:
            reason = f"{status} that does not say whether it ran"
            failure = AttemptFailure(reason=reason, may_have_run=True)
        if failure is not None and failure.replaced:
            self._context.monitor.mark_replaced(state.record)
        return failure


def describe_outcome(outcome: Result[EndpointAnswer, AttemptFailure]) -> str:
    """Return the metrics label for the outcome of an attempt.

    :param outcome: the result of the attempt.
    """
    if isinstance(outcome, Ok):
        return "answered"
    return "lost" if outcome.err_value.may_have_run else "not-run"


def find_served(outcome: Result[EndpointAnswer, AttemptFailure]) -> bool | None:
    """Return whether an endpoint served a call or failed it, ``None`` if neither is certain.

    A timeout may be due to the time that the call had left, and a refusal to the load.

    :param outcome: the result of the attempt.
    """
    if isinstance(outcome, Ok):
        return outcome.ok_value.status < SERVER_ERROR_STATUS
    failure = outcome.err_value
    if not failure.may_have_run or failure.outcome is AnswerOutcome.TIMED_OUT:
        return None
    return False


def find_version_outcome(
    outcome: Result[EndpointAnswer, AttemptFailure],
) -> AnswerOutcome | None:
    """Return what an attempt says about the version of the endpoint, ``None`` for nothing.

    :param outcome: the result of the attempt.
    """
    if isinstance(outcome, Err):
        return outcome.err_value.outcome
    failed = outcome.ok_value.status >= SERVER_ERROR_STATUS
    return AnswerOutcome.FAILED if failed else AnswerOutcome.SERVED
