"""Routing requests for the attempts of a generation."""

import attrs

from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.routing.route_request import RouteRequest


@attrs.define(kw_only=True)
class AttemptRoute:
    """Builds the routing requests of attempts and excludes the engines that failed.

    :param record: state of the generation.
    :param route: routing request of the caller's request.
    :param excluded: names of engines that failed.
    """

    record: GenerationRecord
    route: RouteRequest
    excluded: set[str] = attrs.field(factory=set)

    def describe(self, excluding: frozenset[str] = frozenset()) -> RouteRequest:
        """Return the routing request of an attempt that continues the output so far.

        :param excluding: names of additional engines to exclude.
        """
        record = self.record
        prompt = len(record.prompt_token_ids) + record.length or self.route.prompt_tokens
        return attrs.evolve(
            self.route,
            exact=record.exact if record.pieces else None,
            prompt_tokens=prompt,
            max_tokens=record.max_tokens - record.length,
            priority=record.priority,
            excluded=frozenset(self.excluded | excluding),
        )


def find_model_ref(engine: Endpoint, route: RouteRequest) -> ModelRef:
    """Return the model version and adapter that an engine runs for a request.

    :param engine: the chosen engine.
    :param route: routing request of the attempt.
    """
    if route.exact is not None:
        return route.exact
    return next(ref for ref in engine.models if ref.model == route.model)
