"""One attempt to run a stream on one engine."""

import h11
import trio
from result import Err, Ok, Result

from gypsumpost_core.crashes.run_progress import RunProgress
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection, connect
from gypsumpost_daemon.gateway.answer_check import check_answer
from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.gateway.copy_renewal import CopyRenewal
from gypsumpost_daemon.gateway.engine_watch import EngineWatch
from gypsumpost_daemon.gateway.event_relay import SUCCESS, EventRelay
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.message_headers import find_content_type
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.telemetry.log import Log

CONNECT_SECONDS = 0.08
"""Several round trips; then another engine is tried, which is safe since nothing was sent."""

LOWEST_PRIORITY = 9
SERVER_ERROR_STATUS = 500

LOG = Log(prefix="stream")


class StreamAttempt:
    """Sends the request to one engine and forwards its events to the caller.

    :param context: state shared by the forwarders.
    :param call: the request.
    :param exchange: the caller's side.
    :param progress: progress of the stream; the attempt continues from there.
    :param state: the engine.
    :param copy: the copy to resume from, ``None`` to prefill the prompt.
    :param target: the engine that receives a copy of this attempt, ``None`` for none.
    :param renewal: renews the copy of this attempt, ``None`` if it has none.
    :param prefill_tokens: prompt tokens that the engine has to prefill before the first event.
    """

    def __init__(
        self,
        *,
        context: ForwardContext,
        call: CallerCall,
        exchange: CallerExchange,
        progress: StreamProgress,
        state: EndpointState,
        copy: CopySource | None,
        target: EndpointRecord | None,
        renewal: CopyRenewal | None,
        prefill_tokens: int,
    ) -> None:
        self._context = context
        self._call = call
        self._exchange = exchange
        self._progress = progress
        self._state = state
        self._record = state.record
        self._copy = copy
        self._target = target
        self._renewal = renewal
        self._crash_recorded = False
        self._sent_at = 0.0
        self._prefill_tokens = prefill_tokens
        self._prefill_seconds = prefill_tokens / context.rates.get(
            self._record.endpoint_id, trio.current_time()
        )
        self._watch = EngineWatch(
            context=context,
            call=call,
            state=state,
            prefill_seconds=self._prefill_seconds,
            has_copy=target is not None,
            resumes=progress.events > 0,
        )
        self._relay = EventRelay(
            context=context,
            call=call,
            exchange=exchange,
            progress=progress,
            state=state,
            watch=self._watch,
            prefill_tokens=prefill_tokens,
        )

    async def run(self) -> Result[None, AttemptFailure]:
        """Run until the stream is complete or this engine cannot continue it."""
        self._register_usage()
        opened = await connect(
            self._record.address, trio.current_time() + CONNECT_SECONDS, fast_chunks=False
        )
        if isinstance(opened, Err):
            reason = opened.err_value.reason
            await self._context.monitor.check(self._record, reason)
            return Err(AttemptFailure(reason=reason, may_have_run=False, sent=False))
        self._record_send()
        connection = opened.ok_value
        scope = trio.CancelScope()
        self._context.monitor.watch(self._record.endpoint_id, scope)
        try:
            with scope:
                return await self._run_with_renewal(connection)
            sent = self._call.run.in_flight
            if sent:
                self._record_crash()
            return Err(AttemptFailure(reason="the engine is lost", may_have_run=sent, sent=sent))
        finally:
            self._context.monitor.unwatch(self._record.endpoint_id, scope)
            connection.close()

    async def _run_with_renewal(
        self, connection: H11EngineConnection
    ) -> Result[None, AttemptFailure]:
        outcome: Result[None, AttemptFailure] | None = None
        async with trio.open_nursery() as nursery:
            if self._renewal is not None:
                nursery.start_soon(self._renewal.run)
            if self._call.route.resumable and self._call.versions.tracked:
                nursery.start_soon(self._leave_version, nursery.cancel_scope)
            try:
                outcome = await self._send_and_forward(connection)
            except OSError as error:
                outcome = await self._report_broken_connection(error)
            nursery.cancel_scope.cancel()
        if outcome is None:
            return Err(AttemptFailure(reason="the version of the engine ends", may_have_run=True))
        return outcome

    async def _leave_version(self, scope: trio.CancelScope) -> None:
        await self._call.versions.wait_end(self._record)
        scope.cancel()

    async def _report_broken_connection(self, error: OSError) -> Result[None, AttemptFailure]:
        if not await self._context.monitor.check(self._record, str(error)):
            self._record_crash()
        return Err(AttemptFailure(reason=str(error), may_have_run=True))

    def _record_crash(self) -> None:
        # The check that follows a broken connection also cancels this attempt.
        if self._crash_recorded:
            return
        self._crash_recorded = True
        progress = RunProgress(
            sent_seconds=trio.current_time() - self._watch.started_at,
            written_seconds=self._watch.written_seconds,
        )
        self._context.crash_guard.record_crash(self._call, self._record, progress)

    async def _send_and_forward(
        self, connection: H11EngineConnection
    ) -> Result[None, AttemptFailure]:
        request = self._context.create_request(
            self._call, self._record.endpoint_id, self._create_headers()
        )
        self._watch.restart()
        self._sent_at = trio.current_time()
        self._call.run.begin_send()
        written = await connection.write(request)
        if isinstance(written, Err):
            failure = written.err_value
            return Err(AttemptFailure(reason=failure.reason, may_have_run=failure.may_have_run))
        head = await self._receive_head(connection)
        if isinstance(head, Err):
            return head
        return await self._relay.forward(connection, head.ok_value)

    def _register_usage(self) -> None:
        usage = self._progress.usage
        usage.engine = self._record.endpoint_id
        usage.copy_engine = self._target.endpoint_id if self._target else ""
        usage.prefilling = self._copy is None
        usage.sent_at = trio.current_time()
        usage.prefill_seconds = self._prefill_seconds
        self._context.usage.put(usage)

    def _record_send(self) -> None:
        purpose = RequestPurpose.RESUMPTION if self._progress.events else RequestPurpose.STREAM
        self._context.notices.record_request(self._record, purpose)
        if self._progress.events:
            self._progress.resuming = True
            self._context.metrics.count_resumption(from_copy=self._copy is not None)
        LOG.write(
            "sends",
            request_id=self._call.request_id,
            endpoint=self._record.endpoint_id,
            copy=self._progress.usage.copy_engine,
            from_copy=self._copy is not None,
            last_event=self._progress.last_event_id.decode("latin-1"),
            parts=[part.hex() for part in self._call.shared_parts],
            prefill_tokens=self._prefill_tokens,
            expected_seconds=round(self._prefill_seconds, 3),
            version=self._context.directory.version,
            store_lost=self._context.directory.store_lost,
        )
        self._progress.newest_copy = None
        if self._target is not None:
            self._progress.newest_copy = CopySource(
                holder=self._target, address=self._target.address, handle=self._call.request_id
            )
        if self._call.route.resumable:
            report = CopyReport(
                fingerprint=self._call.fingerprint,
                request_id=self._call.request_id,
                copy_engine=self._progress.usage.copy_engine,
                continues=self._progress.continues,
            )
            self._context.copies.put(report, trio.current_time())

    def _create_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        names, progress = self._context.header_names, self._progress
        extra = [(names.priority, b"%d" % min(LOWEST_PRIORITY, max(0, self._call.priority)))]
        if progress.last_event_id:
            extra.append((names.last_event_id, progress.last_event_id))
        if self._target is not None:
            extra.append((names.copy_target, self._target.address.encode()))
        if self._copy is not None:
            source = f"{self._copy.address}/{self._copy.handle}"
            extra.append((names.resume_from, source.encode()))
        return tuple(extra)

    async def _receive_head(
        self, connection: H11EngineConnection
    ) -> Result[h11.Response, AttemptFailure]:
        head: h11.Response | None = None
        while head is None:
            with trio.move_on_at(self._watch.compute_check_time(prefilling=True)):
                head = await connection.receive_head(self._call.method)
            if head is None and not await self._watch.is_alive(prefilling=True):
                return Err(
                    AttemptFailure(
                        reason="the engine is silent",
                        may_have_run=True,
                        outcome=None if self._state.lost else AnswerOutcome.TIMED_OUT,
                    )
                )
        headers = list(head.headers)
        self._context.observe_answer(
            self._call, self._record, head.status_code, headers, self._sent_at
        )
        names = self._context.header_names
        failure = check_answer(head.status_code, headers, names, self._call.request_id)
        if failure is not None:
            if not failure.may_have_run:
                self._call.run.end_send(may_have_run=False)
            if failure.replaced:
                self._context.monitor.mark_replaced(self._record)
            return Err(failure)
        if head.status_code != SUCCESS:
            failed = head.status_code >= SERVER_ERROR_STATUS
            return Err(
                AttemptFailure(
                    reason=f"status {head.status_code}",
                    may_have_run=True,
                    outcome=AnswerOutcome.FAILED if failed else None,
                )
            )
        if self._exchange.started and find_content_type(headers) != self._progress.content_type:
            return Err(AttemptFailure(reason="an answer of another kind", may_have_run=True))
        return Ok(head)
