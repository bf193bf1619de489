"""Finds the engine for an attempt of a stream."""

import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.no_endpoint import NoEndpoint
from gypsumpost_core.prefill.pacing_condition import is_paced
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.limits.permit_terms import RESUMPTION_PRIORITY, PermitTerms
from gypsumpost_daemon.prefill.prompt_pacer import PromptPacer

ENGINE_WAIT_FRACTION = 0.75
"""Fraction of the route's objective for which a new stream waits for an engine."""

CHOICE_SECONDS = 0.1
"""Time after which the choice between engines is made anew, and for which each stream waits."""

COPY_WAIT_SECONDS = 0.3
"""How long an interrupted stream waits for a permit of the engine with its copy; then another
engine has to read the prompt again."""


class StreamEngines:
    """Chooses engines for streams, and waits for one where that is of use.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context
        self._pacer = PromptPacer(context=context)

    async def acquire_copy_holder(self, copy: CopySource | None) -> EndpointState | None:
        """Return the engine with a copy if the stream may go on there now.

        :param copy: the copy, ``None`` for none.
        """
        if copy is None:
            return None
        fleet = self._context.directory.fleet
        if fleet.find_open(copy.holder, trio.current_time()) is None:
            return None
        wait_until = trio.current_time() + COPY_WAIT_SECONDS
        terms = PermitTerms(
            priority=RESUMPTION_PRIORITY, queue_until=wait_until, deadline=wait_until
        )
        if not await self._context.permits.take(copy.holder, terms):
            return None
        return fleet.find_open(copy.holder, trio.current_time())

    async def choose(
        self, call: CallerCall, progress: StreamProgress, limits: EngineLimits, tried: set[str]
    ) -> Result[EndpointState, NoEndpoint]:
        """Return the engine to which the request may be sent now, or why there is none.

        :param call: the request.
        :param progress: progress of the stream.
        :param limits: limits of the engines.
        :param tried: ids of engines to exclude; emptied when the choice is made anew.
        """
        if is_paced(call.route, limits, progress.usage.total_tokens):
            granted = await self._pacer.wait(call, progress, limits, tried)
            if isinstance(granted, Err):
                return granted
            return await self._take_granted(call, progress, granted.ok_value)
        fleet = self._context.directory.fleet
        wait_deadline = max(
            trio.current_time() + CHOICE_SECONDS,
            call.received_at + ENGINE_WAIT_FRACTION * call.route.objective,
        )
        while True:
            call.versions.draw()
            ranked = self._context.create_choice(call).rank_engines(
                call.service,
                limits,
                prompt_tokens=call.prompt_tokens,
                total_tokens=progress.usage.total_tokens,
                tried=tried,
            )
            if ranked:
                permitted = await self._take_permit(call, progress, ranked, wait_deadline)
                if permitted is not None:
                    return permitted
                continue
            now = trio.current_time()
            opens_at = fleet.find_opening(call.service, now)
            if now >= wait_deadline or (opens_at or now) > wait_deadline:
                return Err(NoEndpoint(opens_at=opens_at))
            tried.clear()
            await self._context.directory.wait_change(min(wait_deadline, now + CHOICE_SECONDS))

    async def _take_granted(
        self, call: CallerCall, progress: StreamProgress, state: EndpointState
    ) -> Result[EndpointState, NoEndpoint]:
        wait_deadline = max(
            trio.current_time() + CHOICE_SECONDS, call.received_at + call.route.objective
        )
        permitted = await self._take_permit(call, progress, [state], wait_deadline)
        return permitted or Err(NoEndpoint(reason="the engine takes no requests any more"))

    async def _take_permit(
        self,
        call: CallerCall,
        progress: StreamProgress,
        ranked: list[EndpointState],
        wait_deadline: float,
    ) -> Result[EndpointState, NoEndpoint] | None:
        """Return ``None`` if the engine takes no requests any more when the permit comes."""
        permits = self._context.permits
        if not permits.is_limited(ranked[0].record):
            return Ok(ranked[0])
        permitted = await permits.take_any(
            [state.record for state in ranked],
            PermitTerms(
                priority=RESUMPTION_PRIORITY if progress.events else call.priority,
                queue_until=wait_deadline,
                deadline=wait_deadline,
            ),
        )
        if isinstance(permitted, Err):
            reason = "all engines are at the limit that they have named"
            return Err(NoEndpoint(reason=reason, opens_at=permitted.err_value))
        fleet = self._context.directory.fleet
        state = fleet.find_open(permitted.ok_value, trio.current_time())
        return None if state is None else Ok(state)
