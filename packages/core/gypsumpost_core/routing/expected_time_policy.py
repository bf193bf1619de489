"""The routing policy that minimizes the expected time to the first and last token."""

from collections.abc import Sequence
from typing import ClassVar

from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.routing_policy import ROUTING, RoutingContext


@ROUTING.register("expected-time")
class ExpectedTimePolicy:
    """Compares a small random sample of probed engines by expected time.

    Daemons that act on the same outdated reports would all send to the same engine if each of them
    compared all engines.
    """

    uses_sample: ClassVar[bool] = True

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return the engine with the lowest expected time in a sample of the candidates."""
        compared = _draw_engines(request, candidates, context)
        # If all of them are full, compare the engines that are not full instead. A fast engine
        # with a short queue may complete sooner than an idle slow one, but more callers are
        # affected by a late first token than by a late last one.
        if all(engine.is_full() for engine in compared):
            open_engines = [engine for engine in candidates if not engine.is_full()]
            compared = open_engines or list(candidates)
        return min(compared, key=lambda engine: _estimate_cost(engine, request, context))


def _draw_engines(
    request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
) -> list[EngineView]:
    count = context.settings.choices
    probed = [e for e in candidates if e.endpoint.name in context.probed and not e.is_full()]
    drawn = context.rng.sample(probed, min(count, len(probed)))
    if len(drawn) < count:
        rest = [engine for engine in candidates if engine.endpoint.name not in context.probed]
        drawn += context.rng.sample(rest, min(count - len(drawn), len(rest)))
    if request.prefix_digests:
        drawn.append(max(candidates, key=lambda engine: _estimate_cached(engine, request)))
    return drawn


def _estimate_cached(engine: EngineView, request: RouteRequest) -> float:
    return engine.prefixes.estimate_cached_share(request.prefix_digests)


def _estimate_cost(engine: EngineView, request: RouteRequest, context: RoutingContext) -> float:
    output_tokens = context.output_tokens
    if request.max_tokens:
        output_tokens = min(output_tokens, request.max_tokens)
    first = engine.estimate_first_token_time(request, context.output_tokens)
    last = first + engine.estimate.estimate_output_time(output_tokens)
    foreign = engine.endpoint.failure_domain != context.failure_domain
    weighed = context.settings.first_token_weight * first + last
    return weighed + (context.settings.domain_penalty if foreign else 0.0)
