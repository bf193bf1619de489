"""Passes the events of one attempt on to the caller."""

import h11
import trio
from result import Err, Ok, Result

from gypsumpost_core.crashes.run_progress import SURVIVAL_SECONDS
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_daemon.engines.answer_memory import AnswerShare
from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection
from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.gateway.engine_watch import EngineWatch
from gypsumpost_daemon.gateway.event_splitter import EventSplitter, StreamEvent
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.message_headers import find_content_type, select_response_headers
from gypsumpost_daemon.gateway.stream_progress import StreamProgress

MAX_EVENT_BYTES = 1 << 20
"""A faulty engine may send bytes without end that never complete an event."""

SUCCESS = 200


class EventRelay:
    """Splits the answer of an engine into events, and sends those that are complete.

    :param context: state shared by the forwarders.
    :param call: the request.
    :param exchange: the caller's side.
    :param progress: progress of the stream.
    :param state: the engine.
    :param watch: measures the silence of the engine.
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
        watch: EngineWatch,
        prefill_tokens: int,
    ) -> None:
        self._context = context
        self._call = call
        self._exchange = exchange
        self._progress = progress
        self._state = state
        self._record = state.record
        self._watch = watch
        self._prefill_tokens = prefill_tokens
        self._splitter = EventSplitter(id_field=context.header_names.event_id_field)
        self._survived = False

    async def forward(
        self, connection: H11EngineConnection, head: h11.Response
    ) -> Result[None, AttemptFailure]:
        """Pass the events on until the stream is complete or this engine cannot continue it.

        :param connection: the connection, after the head of the answer was received.
        :param head: the head.
        :raises OSError: if the connection is lost, or the answer is malformed or too long.
        """
        with self._context.answer_memory.open_share() as share:
            received = await self._forward_events(connection, head, share)
        if isinstance(received, Err):
            return received
        if self._splitter.buffered:
            return Err(AttemptFailure(reason="the stream ended in an event", may_have_run=True))
        if connection.unframed and self._watch.written_seconds is None:
            return Err(AttemptFailure(reason="no event before the end", may_have_run=True))
        if connection.unframed and not await self._context.monitor.check(self._record, "no length"):
            return Err(AttemptFailure(reason="the engine ended with its stream", may_have_run=True))
        if self._watch.written_seconds is not None:
            self._record_survival()
        await self._start_response(head)
        await self._exchange.send(b"", more=False)
        return Ok(None)

    async def _forward_events(
        self, connection: H11EngineConnection, head: h11.Response, share: AnswerShare
    ) -> Result[None, AttemptFailure]:
        """Pass the events on until the engine ends its answer."""
        while True:
            prefilling = self._progress.usage.prefilling
            data = None
            with trio.move_on_at(self._watch.compute_check_time(prefilling=prefilling)):
                data = await connection.receive_body()
            if data is None:
                if not await self._watch.is_alive(prefilling=prefilling):
                    hangs = prefilling and not self._state.lost
                    return Err(
                        AttemptFailure(
                            reason="the engine is silent",
                            may_have_run=True,
                            outcome=AnswerOutcome.TIMED_OUT if hangs else None,
                        )
                    )
                continue
            if not data:
                return Ok(None)
            events = self._splitter.feed(data)
            share.resize(self._splitter.buffered)
            if self._splitter.buffered > MAX_EVENT_BYTES:
                return Err(AttemptFailure(reason="an event is too long", may_have_run=True))
            if not self._progress.is_continued_by(event.event_id for event in events):
                return Err(AttemptFailure(reason="an event came again", may_have_run=True))
            if any(event.has_content for event in events):
                self._observe(prefilling, trio.current_time())
            if events:
                await self._send_events(events, head)

    def _observe(self, prefilling: bool, now: float) -> None:
        self._context.directory.fleet.mark_alive(self._record.endpoint_id, now)
        if prefilling:
            seconds = now - self._watch.started_at
            self._context.rates.measure(
                self._record.endpoint_id, self._prefill_tokens, seconds, now
            )
            self._progress.usage.prefilling = False
            self._call.versions.record_outcome(AnswerOutcome.SERVED)
            self._context.usage.notify_listeners()
        else:
            self._state.observe_gap(now - self._watch.last_event_at)
        self._watch.record_event(now)
        written = self._watch.written_seconds
        if written is not None and written >= SURVIVAL_SECONDS:
            self._record_survival()

    def _record_survival(self) -> None:
        if not self._survived:
            self._survived = True
            self._context.crash_guard.record_survival(self._call)

    async def _send_events(self, events: list[StreamEvent], head: h11.Response) -> None:
        await self._start_response(head)
        progress, now = self._progress, trio.current_time()
        if progress.last_event_at is None:
            self._context.metrics.record_first_event(now - self._call.received_at)
        elif progress.resuming:
            self._context.metrics.record_pause(now - progress.last_event_at)
        # Comments and events without an id leave the id from which the stream is resumed.
        ids = [event.event_id for event in events if event.event_id]
        content = sum(event.has_content for event in events)
        if content:
            progress.record_events(content, ids[-1] if ids else b"", now)
        progress.resuming = False
        await self._exchange.send(b"".join(event.data for event in events), more=True)

    async def _start_response(self, head: h11.Response) -> None:
        # A resumed stream keeps the response head of its first engine.
        if not self._exchange.started:
            headers = select_response_headers(head.headers)
            self._progress.content_type = find_content_type(headers)
            await self._exchange.start(SUCCESS, headers)
