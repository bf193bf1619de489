"""The interface of routing policies and their registry."""

import random
from collections.abc import Sequence
from typing import ClassVar, Protocol

import attrs

from gypsumpost_core.registry import Registry
from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.routing_settings import RoutingSettings


@attrs.frozen(kw_only=True)
class RoutingContext:
    """Input of a routing policy besides the request and the candidates.

    :param settings: routing settings.
    :param failure_domain: the failure domain of this daemon.
    :param probed: engines with a recent load probe.
    :param output_tokens: expected output tokens of a generation.
    :param rng: random number generator.
    """

    settings: RoutingSettings
    failure_domain: str
    probed: set[str]
    output_tokens: float
    rng: random.Random


class RoutingPolicy(Protocol):
    """Chooses one of the engines that can run a request."""

    uses_sample: ClassVar[bool]
    """True if the policy compares only a few engines, so a sample of a domain is sufficient."""

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return one of the candidates; the sequence is never empty."""
        ...


ROUTING: Registry[RoutingPolicy] = Registry(behaviour="routing")
"""Routing policies by name."""
