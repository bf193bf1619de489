"""Watches the engine of one attempt for silence."""

import trio

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_silence import (
    REPORT_INTERVAL_SECONDS,
    EngineSilence,
    compute_check_delay,
)
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="stream")


class EngineWatch:
    """Measures the silence of an engine and checks the engine when it lasts.

    Only events end a silence: an engine that sends single bytes, but no event, has stalled.

    :param context: state shared by the forwarders.
    :param call: the request.
    :param state: the engine.
    :param prefill_seconds: expected time to the first event.
    :param has_copy: true if another engine receives a copy of the stream.
    :param resumes: true if the caller has received events of the stream.
    """

    def __init__(
        self,
        *,
        context: ForwardContext,
        call: CallerCall,
        state: EndpointState,
        prefill_seconds: float,
        has_copy: bool,
        resumes: bool,
    ) -> None:
        self._context = context
        self._call = call
        self._state = state
        self._record = state.record
        self._prefill_seconds = prefill_seconds
        self._has_copy = has_copy
        self._first_event_objective = 0.0 if resumes else call.route.objective
        self._report_at = 0.0
        self.restart()

    def restart(self) -> None:
        """Measure from now, because the request is sent now."""
        self.started_at = self.last_event_at = self._checked_at = trio.current_time()
        self._first_event_at: float | None = None
        self._made: int | None = None

    @property
    def written_seconds(self) -> float | None:
        """Time from the first event of the engine to its last, ``None`` before the first."""
        if self._first_event_at is None:
            return None
        return self.last_event_at - self._first_event_at

    def record_event(self, now: float) -> None:
        """Record that the engine has sent an event.

        :param now: monotonic time in seconds.
        """
        self.last_event_at = now
        if self._first_event_at is None:
            self._first_event_at = now
        self._made = None

    def compute_check_time(self, *, prefilling: bool) -> float:
        """Return the monotonic time in seconds at which the engine has to be checked.

        :param prefilling: true if no event has been received yet.
        """
        delay = compute_check_delay(
            self._state.event_gap, prefilling=prefilling, objective=self._first_event_objective
        )
        return max(self.last_event_at, self._checked_at) + delay

    async def is_alive(self, *, prefilling: bool) -> bool:
        """Check the engine and return whether to keep waiting for it.

        :param prefilling: true if no event has been received yet.
        """
        now = trio.current_time()
        try:
            return await self._check(now, prefilling)
        finally:
            self._checked_at = trio.current_time()

    async def _check(self, now: float, prefilling: bool) -> bool:
        silence = EngineSilence(
            seconds=now - self.last_event_at,
            prefilling=prefilling,
            started=self._first_event_at is not None,
            prefill_seconds=self._prefill_seconds,
            objective=self._call.route.objective,
            has_copy=self._has_copy,
            made_before=self._made,
        )
        if silence.seconds >= silence.report_after and now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL_SECONDS
            return not await self._is_abandoned(silence)
        delay = compute_check_delay(self._state.event_gap, prefilling=False)
        if now - self._state.alive_at < delay:
            return True
        return await self._context.monitor.check_silent(self._record)

    async def _is_abandoned(self, silence: EngineSilence) -> bool:
        work = await self._context.work_reader.read(self._record)
        abandoned = silence.is_abandoned(work, self._call.request_id)
        if work is not None and self._made is None:
            self._made = work.running.get(self._call.request_id)
        LOG.write(
            "asked a silent engine for its work",
            request_id=self._call.request_id,
            endpoint=self._record.endpoint_id,
            silent_seconds=round(silence.seconds, 3),
            prefilling=silence.prefilling,
            expected_seconds=round(self._prefill_seconds, 3),
            events_made=work.running.get(self._call.request_id) if work else None,
            running=len(work.running) if work else None,
            unstarted=work.unstarted if work else None,
            abandoned=abandoned,
        )
        if work is not None:
            fleet = self._context.directory.fleet
            fleet.mark_alive(self._record.endpoint_id, trio.current_time())
        return abandoned
