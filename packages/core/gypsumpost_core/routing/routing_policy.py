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
    """What a policy may use besides the candidates.

    :param settings: routing settings.
    :param failure_domain: the failure domain of this daemon.
    :param probed: engines with a recent load probe.
    :param output_tokens: expected output tokens of a generation.
    :param chance: source of random choices.
    """

    settings: RoutingSettings
    failure_domain: str
    probed: set[str]
    output_tokens: float
    chance: random.Random


class RoutingPolicy(Protocol):
    """Chooses among engines that can all run a request."""

    compares_few: ClassVar[bool]
    """True if the policy compares a few engines only, so that a sample of a domain will do."""

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        """Return one of the candidates, of which there is at least one."""
        ...


ROUTING: Registry[RoutingPolicy] = Registry(behaviour="routing")
"""Routing policies by name."""
