"""Lets the prompts of this host wait until an engine has room for them."""

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.no_endpoint import NoEndpoint
from gypsumpost_core.prefill.prompt_grant import PromptGrant
from gypsumpost_core.prefill.prompt_queue import PromptQueue
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.prefill.turn_request import TurnRequest
from gypsumpost_daemon.telemetry.log import Log

CHECK_SECONDS = 0.05
"""Interval at which waiting prompts are compared with the engines; reports of other hosts are of
about this age."""

WAIT_FRACTION = 0.5
"""Fraction of the time to its deadline for which a prompt waits; the stream needs the rest."""

LOG = Log(prefix="stream")


@attrs.define(kw_only=True, eq=False)
class PacedStream:
    """A stream of this host whose prompt waits.

    :param prompt: the prompt.
    :param progress: progress of the stream.
    """

    prompt: WaitingPrompt
    progress: StreamProgress
    granted: PromptGrant | None = None
    woken: trio.Event = attrs.field(factory=trio.Event)


class PromptPacer:
    """Owns the queue of this host, and tells other hosts of each grant.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context
        self._queue = PromptQueue(rng=context.rng)
        self._streams: dict[WaitingPrompt, PacedStream] = {}
        self._opens_at: dict[str, float] = {}
        self._checked_at = 0.0

    async def wait(
        self, call: CallerCall, progress: StreamProgress, limits: EngineLimits, tried: set[str]
    ) -> Result[EndpointState, NoEndpoint]:
        """Return the engine that has room for a prompt, or why there is none.

        :param call: the request.
        :param progress: progress of the stream.
        :param limits: limits of the engines.
        :param tried: ids of engines to exclude; emptied when no other engine is left.
        """
        arrived_at = trio.current_time()
        call.versions.draw()
        stream = PacedStream(
            prompt=WaitingPrompt(
                request_id=call.request_id,
                service=call.service,
                priority=call.priority,
                prompt_tokens=call.prompt_tokens,
                total_tokens=progress.usage.total_tokens,
                first_event_by=call.received_at + call.route.objective,
                started=bool(progress.events),
                wants_copy=limits.supports_copies,
                tried=tried,
                select=call.versions.select if call.versions.tracked else None,
            ),
            progress=progress,
        )
        # The engine of an earlier attempt does not run the stream any more.
        self._context.usage.drop(progress.usage)
        if not self._queue.add(stream.prompt):
            return Err(NoEndpoint(reason="too many prompts wait on this host"))
        self._streams[stream.prompt] = stream
        self._check_queue(call.service, limits)
        try:
            return await self._wait_for_grant(call, stream, limits, arrived_at)
        finally:
            self._queue.remove(stream.prompt)
            del self._streams[stream.prompt]

    async def _wait_for_grant(
        self, call: CallerCall, stream: PacedStream, limits: EngineLimits, arrived_at: float
    ) -> Result[EndpointState, NoEndpoint]:
        wait_deadline = arrived_at + WAIT_FRACTION * max(0.0, call.deadline - arrived_at)
        while True:
            granted = stream.granted
            if granted is not None:
                if not call.versions.current:
                    call.versions.draw()
                elif await self._take_turn(granted, trio.current_time()):
                    self._log_grant(granted, trio.current_time() - arrived_at)
                    return Ok(granted.engine)
                self._return_to_queue(stream)
                self._check_queue(call.service, limits)
                continue
            now = trio.current_time()
            if now >= wait_deadline:
                return Err(NoEndpoint(reason="no engine has room for the prompt"))
            with trio.move_on_at(min(wait_deadline, now + CHECK_SECONDS)):
                await stream.woken.wait()
            if stream.granted is None:
                self._check_queue_if_due(call.service, limits)

    async def _take_turn(self, granted: PromptGrant, now: float) -> bool:
        """Return true if no other host has just sent a prompt to the engine."""
        prompt, record = granted.prompt, granted.engine.record
        if prompt.started:
            # Its caller waits for the next event, not for the first one.
            return True
        rate = self._context.rates.get(record.endpoint_id, now)
        turn = await self._context.turns.take(
            TurnRequest(
                engine=record.process_key,
                seconds=prompt.prompt_tokens / rate,
            ),
            record.failure_domain,
        )
        self._opens_at[record.process_key] = turn.opens_at
        self._context.metrics.count_prefill_turn(prompt.service, granted=turn.granted)
        return turn.granted

    def _return_to_queue(self, stream: PacedStream) -> None:
        self._context.usage.drop(stream.progress.usage)
        stream.granted = None
        stream.woken = trio.Event()
        self._queue.add(stream.prompt)

    def _log_grant(self, granted: PromptGrant, waited: float) -> None:
        LOG.write(
            "granted an engine",
            request_id=granted.prompt.request_id,
            endpoint=granted.engine.record.endpoint_id,
            waited_seconds=round(waited, 3),
            prompt_tokens=granted.prompt.prompt_tokens,
            late=granted.late,
            waited_for=granted.waited_for.value if granted.waited_for else "",
            with_copy=granted.with_copy,
            waiting=len(self._queue),
        )

    def _check_queue_if_due(self, service: str, limits: EngineLimits) -> None:
        if trio.current_time() >= self._checked_at + CHECK_SECONDS:
            self._check_queue(service, limits)

    def _check_queue(self, service: str, limits: EngineLimits) -> None:
        now = trio.current_time()
        self._checked_at = now
        loads = self._context.create_choice().list_loads(service, limits)
        for load in loads:
            opens_at = self._opens_at.get(load.state.record.process_key, now)
            if opens_at > now:
                load.close_until(opens_at, now)
        for granted in self._queue.grant(service, loads, now):
            stream = self._streams[granted.prompt]
            usage = stream.progress.usage
            usage.engine, usage.copy_engine = granted.engine.record.endpoint_id, ""
            usage.prefilling, usage.sent_at, usage.prefill_seconds = True, now, 0.0
            self._context.usage.put(usage)
            stream.granted = granted
            stream.woken.set()
        self._opens_at = {key: until for key, until in self._opens_at.items() if until > now}
