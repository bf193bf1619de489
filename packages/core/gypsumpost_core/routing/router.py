"""Selection of an engine for each attempt."""

import random
from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.routing.cache_event import CacheEvent
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.engine_fleet import EngineFleet
from gypsumpost_core.routing.engine_load import EngineLoad
from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.no_engine import refuse_without_engine
from gypsumpost_core.routing.outlier_ejection import eject_outliers
from gypsumpost_core.routing.probe_pool import ProbePool
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.routing_policies import ROUTING
from gypsumpost_core.routing.routing_policy import RoutingContext
from gypsumpost_core.routing.routing_settings import RoutingSettings
from gypsumpost_core.smoothed_value import SmoothedValue

EJECTION_INTERVAL = 1.0
"""Seconds between checks of a model's engines for ejection."""


class Router:
    """Tracks the state of all engines and selects one for each attempt.

    :param failure_domain: the failure domain of this daemon.
    :param policy: name of a policy in the ``routing`` registry.
    :param seed: seed of the random choices.
    :param settings: routing settings.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        policy: str = "expected-time",
        seed: int = 0,
        settings: RoutingSettings | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._settings = settings or RoutingSettings()
        self._policy = ROUTING.create(policy)
        self._rng = random.Random(seed)
        self._fleet = EngineFleet(failure_domain=failure_domain, settings=self._settings)
        self._pool = ProbePool(settings=self._settings, failure_domain=failure_domain)
        self._output_tokens = SmoothedValue(weight=0.02)
        self._tokens_since_end = 0
        self._outliers_checked_at: dict[str, float] = {}

    def update_endpoints(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the list of endpoints.

        :param endpoints: all endpoints that the platform lists.
        :param now: monotonic time in seconds.
        """
        self._fleet.update_endpoints(endpoints, now)
        self._pool.update_endpoints(view.endpoint for view in self._fleet.engines.values())

    def record_load(self, name: str, load: EngineLoad, now: float) -> None:
        """Apply a load report of an engine.

        :param name: name of the engine.
        :param load: the report.
        :param now: monotonic time of its arrival in seconds.
        """
        engine = self._fleet.engines.get(name)
        if engine is None:
            return
        if engine.health.observe_boot(load.boot_id, now):
            engine.estimate.reset_load()
            engine.prefixes.clear()
            self._fleet.leaving.observe_restart(name)
        if load.draining:
            self.observe_draining(name, now)
        if engine.estimate.apply_report(load, now):
            self._pool.add_probe(name, now)

    def record_cache_events(
        self, name: str, events: Sequence[CacheEvent], first_sequence: int, now: float
    ) -> None:
        """Apply prefix cache events of an engine.

        :param name: name of the engine.
        :param events: consecutive events.
        :param first_sequence: sequence number of the first event; a gap lowers the trust in cached
            prefixes.
        :param now: monotonic time in seconds.
        """
        if name in self._fleet.engines:
            self._fleet.engines[name].prefixes.apply_events(events, first_sequence)

    def list_probe_targets(self, now: float) -> list[str]:
        """Return the engines to probe for their load now.

        :param now: monotonic time in seconds.
        """
        return self._pool.list_targets(now)

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark an endpoint as leaving, on behalf of an operator or a peer.

        The mark lasts until the platform's list shows the endpoint as live again, allowing for the
        lag of the list, or until the boot id changes.
        """
        self._fleet.leaving.mark(name, now)

    def observe_draining(self, name: str, now: float) -> None:
        """Mark an engine as leaving because it reports that it is draining."""
        self._fleet.leaving.mark(name, now)

    def is_leaving(self, name: str) -> bool:
        """Return true if an endpoint must not receive new requests."""
        return self._fleet.is_leaving(name)

    def choose(self, request: RouteRequest, now: float) -> Result[Endpoint, Failure]:
        """Choose an engine, or return the failure if none can run the request.

        :param request: the attempt that needs an engine.
        :param now: monotonic time in seconds.
        """
        self._eject_outliers(request.model, now)
        context = self._create_context(now)
        if self._policy.uses_sample:
            probed = sorted(context.probed)
            candidates = self._fleet.draw_candidates(request, probed, self._rng, now)
        else:
            candidates = self._fleet.list_candidates(request, now)
        if not candidates:
            return Err(refuse_without_engine(request))
        chosen = self._policy.pick(request, candidates, context)
        name = chosen.endpoint.name
        leaving = self.is_leaving(name)
        require(Invariant.NO_NEW_WORK_WHEN_LEAVING, not leaving, chosen.endpoint)
        return Ok(chosen.endpoint)

    def record_start(self, name: str, request: RouteRequest, now: float) -> None:
        """Record that an attempt was sent to an engine."""
        if name in self._fleet.engines:
            self._fleet.engines[name].estimate.add_start(now)
            self._fleet.engines[name].prefixes.add_sent(request.prefix_digests)
            self._fleet.prefix_index.add(request.prefix_digests, name)

    def record_first_token(self, name: str, request: RouteRequest, wait: float, now: float) -> None:
        """Record the time from sending an attempt to its first token, in seconds."""
        if name not in self._fleet.engines:
            return
        engine = self._fleet.engines[name]
        cached = engine.prefixes.estimate_cached_share(request.prefix_digests)
        # A prompt that may be cached, also through own attempts, does not measure prefill speed.
        if cached == 0 or not request.prefix_digests:
            engine.estimate.observe_first_token(wait, request.prompt_tokens)

    def record_tokens(self, name: str, count: int, gap: float, now: float) -> None:
        """Record tokens of an attempt and the seconds since its previous tokens."""
        self._tokens_since_end += count
        if name not in self._fleet.engines:
            return
        engine = self._fleet.engines[name]
        engine.estimate.observe_tokens(count, gap)
        engine.silence.observe_gap(gap, self._estimate_gap(engine))

    def record_end(
        self, name: str, request: RouteRequest, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record the end of an attempt."""
        if outcome is AttemptOutcome.FINISHED:
            self._output_tokens.observe(self._tokens_since_end)
            self._tokens_since_end = 0
        if name in self._fleet.engines:
            self._fleet.engines[name].estimate.add_end(now)
            self._fleet.engines[name].health.observe_end(outcome, now)

    def compute_silence_bound(self, name: str) -> float:
        """Return the limit on the silence of a stream between tokens, in seconds."""
        engine = self._fleet.engines.get(name)
        if engine is None:
            return 0.0
        return engine.silence.compute_bound(self._estimate_gap(engine))

    def get_mean_gap(self, name: str) -> float:
        """Return the mean seconds between deliveries of tokens on an engine, 0 if unknown."""
        engine = self._fleet.engines.get(name)
        return 0.0 if engine is None else engine.silence.get_mean_gap()

    def compute_first_token_bound(self, name: str, request: RouteRequest) -> float:
        """Return the limit on the wait for the first token, in seconds."""
        engine = self._fleet.engines.get(name)
        if engine is None:
            return 0.0
        wait = engine.estimate_first_token_time(request, self.estimate_output_tokens())
        return engine.silence.compute_first_token_bound(wait)

    def estimate_first_token_elsewhere(self, request: RouteRequest, now: float) -> float | None:
        """Return the expected seconds to the first token on the fastest other engine.

        :param request: the continuation, with the current engine excluded.
        :param now: monotonic time in seconds.
        :returns: ``None`` if no other engine can run it.
        """
        candidates = self._fleet.list_candidates(request, now)
        output_tokens = self.estimate_output_tokens()
        waits = (engine.estimate_first_token_time(request, output_tokens) for engine in candidates)
        return min(waits, default=None)

    def is_down(self, name: str, now: float) -> bool:
        """Return true if an engine is considered dead or is no longer listed."""
        engine = self._fleet.engines.get(name)
        return engine is None or engine.health.is_down(now)

    def list_isolation_candidates(self, request: RouteRequest, now: float) -> list[str]:
        """Return the names of the live engines on which a suspected request may run isolated."""
        return [
            engine.endpoint.name for engine in self._fleet.list_isolation_candidates(request, now)
        ]

    def get_boot_id(self, name: str) -> str | None:
        """Return the boot id in the latest report of an engine.

        :returns: empty before the first report, ``None`` if the engine is not listed.
        """
        engine = self._fleet.engines.get(name)
        return None if engine is None else engine.health.boot_id

    def list_engines(self) -> list[Endpoint]:
        """Return all listed engines."""
        return [view.endpoint for view in self._fleet.engines.values()]

    def estimate_output_tokens(self) -> float:
        """Return the expected number of output tokens of a generation."""
        return self._output_tokens.mean or self._settings.output_tokens

    def count_slots(self, model: str, now: float) -> int:
        """Return the number of batch slots on the engines of a model that accept requests."""
        return self._fleet.count_slots(model, now)

    def count_free_slots(self, model: str, now: float) -> int:
        """Return the estimated number of those slots that no generation of any daemon uses."""
        return self._fleet.count_free_slots(model, now)

    def _create_context(self, now: float) -> RoutingContext:
        return RoutingContext(
            settings=self._settings,
            failure_domain=self._failure_domain,
            probed=self._pool.list_fresh(now),
            output_tokens=self.estimate_output_tokens(),
            rng=self._rng,
        )

    def _eject_outliers(self, model: str, now: float) -> None:
        if now - self._outliers_checked_at.get(model, float("-inf")) >= EJECTION_INTERVAL:
            self._outliers_checked_at[model] = now
            eject_outliers(self._fleet.list_model(model), self._settings, now)

    def _estimate_gap(self, engine: EngineView) -> float:
        return engine.estimate.estimate_token_time(engine.estimate.estimate_load())
