"""Chooses engines, some of which limit the requests of all hosts together."""

import time
from collections.abc import Collection

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.limits.permit_terms import RESUMPTION_PRIORITY, PermitTerms

PERMIT_WAIT_SECONDS = 2.0
"""How long a generation waits for an engine at its limit; a longer queue serves no more."""


@attrs.define(kw_only=True)
class LimitedEngines:
    """Prefers engines that have room within their limits, and takes permits.

    :param router: chooses engines.
    :param signals: what the engines say about themselves.
    """

    router: Router
    signals: EndpointSignals

    def choose(self, route: RouteRequest, now: float) -> Result[Endpoint, Failure]:
        """Choose an engine that has room, another one that wants requests if there is none.

        :param route: the attempt that needs an engine.
        :param now: monotonic time in seconds.
        """
        chosen = self._choose_with_room(route, now)
        if not isinstance(chosen, Err):
            return chosen
        paused = self._list_paused(now)
        chosen = self.router.choose(exclude(route, paused), now)
        if isinstance(chosen, Err) and paused:
            retry_at = time.time() + min(paused.values()) - now
            return Err(attrs.evolve(chosen.err_value, retry_at=retry_at))
        return chosen

    def has_alternatives(self, route: RouteRequest, now: float) -> bool:
        """Return true if an engine has room.

        :param route: the attempt that needs an engine.
        :param now: monotonic time in seconds.
        """
        return not isinstance(self._choose_with_room(route, now), Err)

    async def take_permit(
        self, engine: Endpoint, route: RouteRequest, deadline: float, *, started: bool
    ) -> Result[Endpoint, float]:
        """Take a permit; it is waited for if no other engine has room.

        :param engine: the chosen engine.
        :param route: the attempt that needs an engine.
        :param deadline: monotonic time in seconds by which the answer must be complete.
        :param started: true if the answer has begun, which goes before new ones.
        :returns: the monotonic time in seconds at which to come back if there is no permit.
        """
        now = trio.current_time()
        if not self.signals.is_limited(engine):
            return Ok(engine)
        others = exclude(route, {engine.name})
        wait_until = now
        if not self.has_alternatives(others, now):
            wait_until = min(deadline, now + PERMIT_WAIT_SECONDS)
        terms = PermitTerms(
            priority=RESUMPTION_PRIORITY if started else 0,
            queue_until=wait_until,
            deadline=wait_until,
        )
        return await self.signals.take_any(engine.name, [engine], terms)

    def _choose_with_room(self, route: RouteRequest, now: float) -> Result[Endpoint, Failure]:
        full = {
            engine.name
            for engine in self.router.list_engines()
            if self.signals.is_full(engine, now)
        }
        return self.router.choose(exclude(route, full | self._list_paused(now).keys()), now)

    def _list_paused(self, now: float) -> dict[str, float]:
        """Return the engines that want no request now, with the monotonic times of the ends."""
        ends = {
            engine.name: self.signals.find_pause_end(engine, now)
            for engine in self.router.list_engines()
        }
        return {name: end for name, end in ends.items() if end is not None}


def exclude(route: RouteRequest, names: Collection[str]) -> RouteRequest:
    """Return a routing request that uses none of some engines.

    :param route: the request.
    :param names: names of the engines.
    """
    return attrs.evolve(route, excluded=route.excluded | frozenset(names)) if names else route
