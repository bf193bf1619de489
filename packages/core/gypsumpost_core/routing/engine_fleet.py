"""All known engines, and the selection of those that can run a request."""

import random
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.leaving_register import LeavingRegister
from gypsumpost_core.routing.prefix_index import PrefixIndex
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.routing_settings import RoutingSettings

SCAN_LIMIT = 24
"""Number of engines of the own domain up to which each choice considers all of them.

Considering all of 240 engines took most of the 0.7 ms of a choice.
"""

PROBED_DRAWS = 12
RANDOM_DRAWS = 4
"""Number of engines sampled in a larger domain: with a recent probe, and at random."""


@attrs.define(kw_only=True)
class EngineFleet:
    """Engine views by name and by model, and the engines that are leaving.

    :param failure_domain: the failure domain of this daemon.
    :param settings: routing settings.
    """

    failure_domain: str
    settings: RoutingSettings
    engines: dict[str, EngineView] = attrs.field(factory=dict)
    leaving: LeavingRegister = attrs.field(init=False)
    prefix_index: PrefixIndex = attrs.field(factory=PrefixIndex)
    _by_model: dict[str, list[EngineView]] = attrs.field(factory=dict)
    _own: dict[str, list[EngineView]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.leaving = LeavingRegister(list_lag=self.settings.list_lag)

    def update_endpoints(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the list of endpoints, keeping the state of those that remain listed."""
        endpoints = list(endpoints)
        listed = [endpoint for endpoint in endpoints if endpoint.kind is EndpointKind.ENGINE]
        self.engines = {endpoint.name: self._update_view(endpoint) for endpoint in listed}
        self._by_model = {}
        self._own = {}
        for engine in self.engines.values():
            for model in {ref.model for ref in engine.endpoint.models}:
                self._by_model.setdefault(model, []).append(engine)
                if engine.endpoint.failure_domain == self.failure_domain:
                    self._own.setdefault(model, []).append(engine)
        live = {e.name for e in endpoints if e.status is EndpointStatus.LIVE}
        self.leaving.observe_list(live, now)

    def list_model(self, model: str) -> list[EngineView]:
        """Return all engines that have a model loaded."""
        return self._by_model.get(model, [])

    def is_leaving(self, name: str) -> bool:
        """Return true if an endpoint must not receive new requests."""
        engine = self.engines.get(name)
        listed = engine is not None and engine.endpoint.status is EndpointStatus.LEAVING
        return listed or name in self.leaving

    def draw_candidates(
        self, request: RouteRequest, probed: Sequence[str], rng: random.Random, now: float
    ) -> list[EngineView]:
        """Return engines to compare: a sample of a large domain, else as ``list_candidates``.

        :param request: the attempt.
        :param probed: engines with a recent load probe.
        :param rng: random number generator.
        :param now: monotonic time in seconds.
        """
        own = self._own.get(request.model, [])
        if len(own) > SCAN_LIMIT and not request.required_endpoint:
            names = rng.sample(probed, min(PROBED_DRAWS, len(probed)))
            names.append(self.prefix_index.find(request.prefix_digests))
            known = [self.engines[name] for name in dict.fromkeys(names) if name in self.engines]
            drawn = [engine for engine in known if self._is_own(engine, request)]
            drawn += [e for e in rng.sample(own, RANDOM_DRAWS) if e not in drawn]
            usable = [engine for engine in drawn if self._is_usable(engine, request, now)]
            if any(not engine.is_full() for engine in usable):
                return usable
        return self.list_candidates(request, now)

    def list_candidates(self, request: RouteRequest, now: float) -> list[EngineView]:
        """Return the engines from which a policy may choose.

        The engine must be able to run the request. Each further condition (alive, not ejected,
        within its slow start limit) is dropped if no engine meets it, so that a request is tried
        rather than refused. The own domain is preferred while one of its engines is not full.
        """
        if request.required_endpoint:
            return self._list_required(request, now)
        own = [e for e in self._own.get(request.model, []) if self._is_usable(e, request, now)]
        if any(not engine.is_full() for engine in own):
            return own
        able = [e for e in self.list_model(request.model) if self._can_run(e, request)]
        alive = [engine for engine in able if not engine.health.is_down(now)] or able
        trusted = [engine for engine in alive if not engine.health.is_ejected(now)] or alive
        return [engine for engine in trusted if engine.may_start(now)] or trusted

    def list_isolation_candidates(self, request: RouteRequest, now: float) -> list[EngineView]:
        """Return the live engines on which a suspected request may run isolated.

        These are the engines of the own domain, or of all domains if the own one has fewer than
        two, because one engine must remain available to other requests.
        """
        own = self._list_live(self._own.get(request.model, []), request, now)
        return (
            own if len(own) > 1 else self._list_live(self.list_model(request.model), request, now)
        )

    def count_slots(self, model: str, now: float) -> int:
        """Return the number of batch slots on the engines of a model that accept requests."""
        return sum(engine.estimate.get_slots() for engine in self._list_usable(model, now))

    def count_free_slots(self, model: str, now: float) -> int:
        """Return the estimated number of those slots that no generation of any daemon uses."""
        estimates = [engine.estimate for engine in self._list_usable(model, now)]
        return sum(max(0, each.get_slots() - each.estimate_load()) for each in estimates)

    def _list_usable(self, model: str, now: float) -> list[EngineView]:
        staying = [e for e in self.list_model(model) if not self.is_leaving(e.endpoint.name)]
        return [engine for engine in staying if not engine.health.is_down(now)]

    def _list_live(
        self, engines: list[EngineView], request: RouteRequest, now: float
    ) -> list[EngineView]:
        return [e for e in engines if not e.health.is_down(now) and self._can_run(e, request)]

    def _list_required(self, request: RouteRequest, now: float) -> list[EngineView]:
        engine = self.engines.get(request.required_endpoint)
        if engine is None or engine.health.is_down(now) or not self._can_run(engine, request):
            return []
        return [engine]

    def _is_own(self, engine: EngineView, request: RouteRequest) -> bool:
        endpoint = engine.endpoint
        own = endpoint.failure_domain == self.failure_domain
        return own and any(ref.model == request.model for ref in endpoint.models)

    def _is_usable(self, engine: EngineView, request: RouteRequest, now: float) -> bool:
        health = engine.health
        if health.is_down(now) or health.is_ejected(now) or not self._can_run(engine, request):
            return False
        return engine.may_start(now)

    def _can_run(self, engine: EngineView, request: RouteRequest) -> bool:
        name = engine.endpoint.name
        if name in request.excluded or self.is_leaving(name):
            return False
        return request.exact is None or request.exact in engine.endpoint.models

    def _update_view(self, endpoint: Endpoint) -> EngineView:
        engine = self.engines.get(endpoint.name)
        if engine is None:
            return EngineView.create(endpoint, self.settings)
        engine.endpoint = endpoint
        return engine
