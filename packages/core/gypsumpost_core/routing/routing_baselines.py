"""Simple routing policies, used as baselines."""

from collections.abc import Sequence
from typing import ClassVar

import attrs

from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.routing_policy import ROUTING, RoutingContext


def get_reported_load(engine: EngineView) -> int:
    """Return the load in the latest report, without correction by own attempts."""
    report = engine.estimate.report
    return report.running + report.waiting if report is not None else 0


@ROUTING.register("round-robin")
@attrs.define(kw_only=True)
class RoundRobinPolicy:
    """Uses the candidates in turn."""

    uses_sample: ClassVar[bool] = False
    _next: int = 0

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return the next candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@ROUTING.register("least-loaded")
class LeastLoadedPolicy:
    """Uses the engine with the lowest reported load."""

    uses_sample: ClassVar[bool] = False

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return the engine with the lowest reported load."""
        return min(candidates, key=get_reported_load)


@ROUTING.register("random-of-two")
class RandomOfTwoPolicy:
    """Uses the engine with the lower reported load of two random ones."""

    uses_sample: ClassVar[bool] = False

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return the less loaded of two random engines."""
        pair = context.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=get_reported_load)
