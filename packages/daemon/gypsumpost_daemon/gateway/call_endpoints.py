"""Finds the endpoint for an attempt of a call."""

import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.endpoint_choice import rank_endpoints
from gypsumpost_core.gateway.endpoint_ejection import record_choice
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.no_endpoint import NoEndpoint
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.limits.permit_terms import PermitTerms

ENDPOINT_WAIT_FRACTION = 0.125
"""Fraction of the route's objective for which a call waits for an available endpoint."""

REOPENING_SECONDS = 0.3
"""Time over which the requests that wait for an endpoint return to it."""


class CallEndpoints:
    """Chooses endpoints for calls, and waits for one where that is of use.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context

    async def choose(self, call: CallerCall, tried: set[str]) -> Result[EndpointState, NoEndpoint]:
        """Return the endpoint to which the call may be sent now, or why there is none.

        :param call: the request.
        :param tried: ids of endpoints to exclude; emptied when all endpoints were closed.
        """
        fleet = self._context.directory.fleet
        wait_deadline = trio.current_time() + ENDPOINT_WAIT_FRACTION * call.route.objective
        while trio.current_time() < call.deadline:
            now = trio.current_time()
            call.versions.draw()
            usable = call.versions.select(self._list_usable(call.service, now), tried)
            ranked = rank_endpoints(
                usable,
                failure_domain=self._context.settings.failure_domain,
                tried=tried,
                now=now,
                rng=self._context.rng,
            )
            if ranked:
                record_choice(usable, ranked[0], now)
                permitted = await self._take_permit(call, ranked)
                if permitted is not None:
                    return permitted
                await trio.lowlevel.checkpoint()
                continue
            opens_at = fleet.find_opening(call.service, now)
            if opens_at is not None and opens_at + call.route.objective < call.deadline:
                # Requests that wait return one after the other, not all at the same moment.
                opens_at += self._context.rng.uniform(0, REOPENING_SECONDS)
                tried.clear()
                await self._context.directory.wait_change(opens_at)
            elif opens_at is not None or now >= wait_deadline:
                return Err(NoEndpoint(opens_at=opens_at))
            else:
                await self._context.directory.wait_change(wait_deadline)
        return Err(NoEndpoint(reason="the deadline has passed"))

    def _list_usable(self, service: str, now: float) -> list[EndpointState]:
        """Return the endpoints that may get a call, also lost ones that need no permit.

        A lost endpoint gets none: its health checks need them, and a permit for it is not used.
        """
        permits = self._context.permits
        return [
            state
            for state in self._context.directory.fleet.list_open(service, now)
            if not state.lost or not permits.is_limited(state.record)
        ]

    async def _take_permit(
        self, call: CallerCall, ranked: list[EndpointState]
    ) -> Result[EndpointState, NoEndpoint] | None:
        """Return ``None`` if the endpoint takes no requests any more when the permit comes."""
        records = [state.record for state in ranked]
        permits = self._context.permits
        if not permits.is_limited(records[0]):
            return Ok(ranked[0])
        objective = call.route.objective
        permitted = await permits.take_any(
            records,
            PermitTerms(
                priority=call.priority,
                queue_until=call.received_at + objective - ranked[0].expected_seconds,
                deadline=call.deadline - objective,
            ),
        )
        if isinstance(permitted, Err):
            reason = "all endpoints are at the limit that they have named"
            return Err(NoEndpoint(reason=reason, opens_at=permitted.err_value))
        fleet = self._context.directory.fleet
        state = fleet.find_open(permitted.ok_value, trio.current_time())
        return None if state is None else Ok(state)
