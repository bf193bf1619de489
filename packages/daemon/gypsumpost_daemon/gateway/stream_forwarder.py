"""Forwards streams of events and carries them over the loss of engines."""

import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_choice import EngineChoice
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.silence_limit import HANG_SECONDS, compute_check_delay
from gypsumpost_core.gateway.stream_use import StreamUse
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.gateway.crash_guard import fingerprint
from gypsumpost_daemon.gateway.event_cutter import EventCutter
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.forwarder import FORWARDERS
from gypsumpost_daemon.gateway.message_headers import find_header, select_response_headers
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.h11_engine_connection import H11EngineConnection, connect
from gypsumpost_daemon.log import Log

CONNECT_SECONDS = 0.08
"""Several round trips; after it another engine is tried, as nothing was sent."""

WAIT_SHARE = 0.75
"""Share of the objective for which a new stream waits for an engine."""

RETRY_AFTER_SECONDS = 1.0
PAUSE_SECONDS = 0.02
"""Shortest time between two attempts that were refused."""

OK = 200
MISDIRECTED = 421

LOG = Log(prefix="stream")


@FORWARDERS.register(RequestKind.STREAM.value)
class StreamForwarder:
    """Runs a stream on one engine after the other until it is complete.

    :param context: what the forwarders share.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context

    async def forward(self, call: CallerCall, exchange: CallerExchange) -> None:
        """Answer the request.

        :param call: the request.
        :param exchange: the caller's side.
        """
        progress = StreamProgress(
            last_event_id=call.last_event_id,
            use=StreamUse(
                engine="",
                prompt_tokens=call.prompt_tokens,
                total_tokens=call.prompt_tokens + call.output_tokens,
            ),
        )
        digest = fingerprint(call)
        known = self._context.copies.find(digest, trio.current_time())
        if known is not None and call.route.resumable:
            progress.copy = self._find_record(known.copy_engine)
            progress.copy_request_id = known.request_id
        try:
            with trio.move_on_at(call.deadline):
                reason = await self._run_attempts(call, exchange, progress)
                if not reason:
                    self._log_end(call, progress)
                    return
        finally:
            self._context.use.drop(progress.use)
            self._context.copies.drop(digest)
        if trio.current_time() >= call.deadline:
            reason = "the deadline has passed"
        await self._give_up(call, exchange, progress, reason)

    async def _run_attempts(
        self, call: CallerCall, exchange: CallerExchange, progress: StreamProgress
    ) -> str:
        """Return an empty text once the stream is complete, else why it cannot go on."""
        tried: set[str] = set()
        while True:
            if progress.sends >= call.route.max_attempts:
                return "all attempts are used"
            if progress.sends and self._context.crashes.is_refused(call):
                return "endpoints crashed each time it ran"
            if progress.sends and not self._context.try_retry(call.service):
                return "the retry budget is spent"
            copy = progress.copy
            state = self._find_copy_engine(copy)
            if state is None:
                copy = None
                state = await self._choose_engine(call, progress, tried)
            if state is None:
                return "no engine takes work"
            done = await self._attempt(call, exchange, progress, state, copy)
            if isinstance(done, Ok):
                return ""
            failure = done.err_value
            self._context.metrics.count_attempt(
                call.service, "lost" if failure.may_have_run else "not-run"
            )
            progress.sends += failure.sent
            progress.may_have_run = progress.may_have_run or failure.may_have_run
            if failure.may_have_run:
                # The engine may have begun to send its memory to the copy's holder.
                progress.copy = self._find_record(progress.use.copy_engine)
                progress.copy_request_id = call.request_id
            elif copy is not None:
                progress.copy = None
            else:
                tried.add(state.record.endpoint_id)
            LOG.write(
                "an attempt ended",
                request=call.request_id,
                endpoint=state.record.endpoint_id,
                reason=failure.reason,
                may_have_run=failure.may_have_run,
                from_copy=copy is not None,
                events=progress.events,
            )
            if failure.may_have_run and not call.route.resumable:
                return failure.reason
            if failure.sent and not failure.may_have_run:
                await trio.sleep(PAUSE_SECONDS)

    def _log_end(self, call: CallerCall, progress: StreamProgress) -> None:
        self._context.metrics.count_attempt(call.service, "answered")
        first = (progress.first_event_at or trio.current_time()) - call.received_at
        LOG.write(
            "complete",
            request=call.request_id,
            events=progress.events,
            attempts=progress.sends + 1,
            first_event_seconds=round(first, 3),
            longest_gap=round(progress.longest_gap, 3),
            prompt_tokens=call.prompt_tokens,
        )

    def _find_record(self, endpoint_id: str) -> EndpointRecord | None:
        state = self._context.directory.fleet.find(endpoint_id)
        return state.record if state else None

    def _find_copy_engine(self, copy: EndpointRecord | None) -> EndpointState | None:
        if copy is None:
            return None
        state = self._context.directory.fleet.find(copy.endpoint_id)
        if state is None or state.lost or state.record.started_at != copy.started_at:
            return None
        return state

    async def _choose_engine(
        self, call: CallerCall, progress: StreamProgress, tried: set[str]
    ) -> EndpointState | None:
        give_up = max(
            trio.current_time() + 0.1, call.received_at + WAIT_SHARE * call.route.objective
        )
        limits = self._find_limits(call)
        while limits is not None:
            state = self._create_choice().choose_engine(
                call.service,
                limits,
                prompt_tokens=call.prompt_tokens,
                total_tokens=progress.use.total_tokens,
                tried=tried,
            )
            if state is not None or trio.current_time() >= give_up:
                return state
            tried.clear()
            await self._context.directory.wait_change(min(give_up, trio.current_time() + 0.1))
        return None

    def _find_limits(self, call: CallerCall):  # type: ignore[no-untyped-def]
        routes = self._context.directory.routes
        service = routes.find_service(call.service) if routes else None
        return service.engine if service else None

    def _create_choice(self) -> EngineChoice:
        now = trio.current_time()
        return EngineChoice(
            fleet=self._context.directory.fleet,
            use=self._context.use.sum_all(now),
            failure_domain=self._context.settings.failure_domain,
            now=now,
        )

    async def _attempt(
        self,
        call: CallerCall,
        exchange: CallerExchange,
        progress: StreamProgress,
        state: EndpointState,
        copy: EndpointRecord | None,
    ) -> Result[None, AttemptFailure]:
        record = state.record
        limits = self._find_limits(call)
        target = None
        self._context.use.drop(progress.use)
        if limits is not None:
            target = self._create_choice().choose_copy(
                call.service, limits, engine=state, total_tokens=progress.use.total_tokens
            )
        progress.use.engine = record.endpoint_id
        progress.use.copy_engine = target.record.endpoint_id if target else ""
        progress.use.reading = copy is None
        self._context.use.put(progress.use)
        opened = await connect(
            record.address, trio.current_time() + CONNECT_SECONDS, fast_chunks=False
        )
        if isinstance(opened, Err):
            reason = opened.err_value.reason
            await self._context.monitor.check(record, reason)
            return Err(AttemptFailure(reason=reason, may_have_run=False, sent=False))
        if progress.events:
            progress.resuming = True
            self._context.metrics.count_resumption(from_copy=copy is not None)
        request = self._context.create_request(
            call, record.endpoint_id, self._create_headers(call, progress, copy, target)
        )
        LOG.write(
            "sends",
            request=call.request_id,
            endpoint=record.endpoint_id,
            copy=progress.use.copy_engine,
            from_copy=copy is not None,
            last_event=progress.last_event_id.decode("latin-1"),
            version=self._context.directory.version,
            store_lost=self._context.directory.store_lost,
        )
        if target is not None:
            self._context.copies.put(
                CopyReport(
                    fingerprint=fingerprint(call),
                    request_id=call.request_id,
                    copy_engine=target.record.endpoint_id,
                )
            )
        connection = opened.ok_value
        scope = trio.CancelScope()
        self._context.monitor.watch(record.endpoint_id, scope)
        try:
            with scope:
                written = await connection.write(request)
                if isinstance(written, Err):
                    failure = written.err_value
                    return Err(
                        AttemptFailure(reason=failure.reason, may_have_run=failure.may_have_run)
                    )
                return await self._relay(call, exchange, progress, state, connection)
            self._context.crashes.note_crash(call, record)
            return Err(AttemptFailure(reason="the engine is lost", may_have_run=True))
        except OSError as error:
            if not await self._context.monitor.check(record, str(error)):
                self._context.crashes.note_crash(call, record)
            return Err(AttemptFailure(reason=str(error), may_have_run=True))
        finally:
            self._context.monitor.unwatch(record.endpoint_id, scope)
            connection.close()

    def _create_headers(
        self,
        call: CallerCall,
        progress: StreamProgress,
        copy: EndpointRecord | None,
        target: EndpointState | None,
    ) -> tuple[tuple[bytes, bytes], ...]:
        names = self._context.names
        extra = [(names.priority, b"%d" % min(9, max(0, call.priority)))]
        if progress.last_event_id:
            extra.append((names.last_event_id, progress.last_event_id))
        if target is not None:
            extra.append((names.copy_target, target.record.address.encode()))
        if copy is not None:
            extra.append((names.resume_from, f"{copy.address}/{progress.copy_request_id}".encode()))
        return tuple(extra)

    async def _relay(
        self,
        call: CallerCall,
        exchange: CallerExchange,
        progress: StreamProgress,
        state: EndpointState,
        connection: H11EngineConnection,
    ) -> Result[None, AttemptFailure]:
        names = self._context.names
        began = trio.current_time()
        head = None
        while head is None:
            with trio.move_on_after(compute_check_delay(state, reading=True)):
                head = await connection.receive_head(call.method)
            if head is None and not await self._is_alive(state, began):
                return Err(AttemptFailure(reason="the engine is silent", may_have_run=True))
        headers = list(head.headers)
        if head.status_code == MISDIRECTED:
            self._context.monitor.mark_replaced(state.record)
            return Err(AttemptFailure(reason="another endpoint", may_have_run=False, sent=False))
        if find_header(headers, names.not_run) is not None:
            reason = f"refused with {head.status_code}"
            return Err(AttemptFailure(reason=reason, may_have_run=False))
        if head.status_code != OK or find_header(headers, names.seal) is None:
            return Err(AttemptFailure(reason=f"status {head.status_code}", may_have_run=True))
        cutter = EventCutter(id_field=names.event_id_field)
        last_at = began
        reading = progress.use.reading
        while True:
            data = None
            with trio.move_on_after(compute_check_delay(state, reading=reading)):
                data = await connection.receive_body()
            now = trio.current_time()
            if data is None:
                if not await self._is_alive(state, last_at):
                    return Err(AttemptFailure(reason="the engine is silent", may_have_run=True))
                continue
            if not data:
                break
            events = cutter.feed(data)
            if not events:
                continue
            state.lost_at, state.alive_at = float("-inf"), now
            if reading:
                state.observe_reading(call.prompt_tokens, now - began)
                reading = progress.use.reading = False
                self._context.use.note_change()
            else:
                state.observe_gap(now - last_at)
            last_at = now
            if not exchange.started:
                await exchange.start(OK, select_response_headers(headers))
            self._record(call, progress, now)
            progress.note_events(len(events), events[-1].event_id, now)
            progress.resuming = False
            await exchange.send(b"".join(event.data for event in events), more=True)
        if cutter.incomplete:
            return Err(AttemptFailure(reason="the stream ended in an event", may_have_run=True))
        if not exchange.started:
            await exchange.start(OK, select_response_headers(headers))
        await exchange.send(b"", more=False)
        return Ok(None)

    def _record(self, call: CallerCall, progress: StreamProgress, now: float) -> None:
        metrics = self._context.metrics
        if progress.last_event_at is None:
            metrics.record_first_event(now - call.received_at)
        elif progress.resuming:
            metrics.record_pause(now - progress.last_event_at)

    async def _is_alive(self, state: EndpointState, silent_since: float) -> bool:
        if trio.current_time() - state.alive_at < compute_check_delay(state, reading=False):
            return True
        alive = await self._context.monitor.check(state.record, "a stream is silent")
        hangs = trio.current_time() - max(silent_since, 0) > HANG_SECONDS and not (
            trio.current_time() - state.alive_at < HANG_SECONDS
        )
        return alive and not hangs

    async def _give_up(
        self, call: CallerCall, exchange: CallerExchange, progress: StreamProgress, reason: str
    ) -> None:
        LOG.write(
            "gave up",
            request=call.request_id,
            reason=reason,
            may_have_run=progress.may_have_run,
            events=progress.events,
        )
        late = trio.current_time() >= call.deadline
        if progress.may_have_run:
            text = f"The engines gave no whole answer: {reason}."
            await exchange.refuse(504 if late else 502, text, RunState.UNKNOWN)
        else:
            text = f"The request has not run: {reason}."
            await exchange.refuse(503, text, RunState.NOT_RUN, RETRY_AFTER_SECONDS)
