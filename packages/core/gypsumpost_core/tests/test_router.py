"""Tests of routing."""

from collections.abc import Sequence
from typing import ClassVar

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.cache_event import CacheEvent, CacheEventKind
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_core.routing.engine_load import EngineLoad
from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.router import Router
from gypsumpost_core.routing.routing_policy import ROUTING, RoutingContext

MODEL = ModelRef(model="m")
REQUEST = RouteRequest(workspace="w", model="m", prompt_tokens=100, max_tokens=200)


def create_endpoint(number: int, domain: str = "", leaving: bool = False) -> Endpoint:
    return Endpoint(
        name=f"e{number}",
        kind=EndpointKind.ENGINE,
        address=f"127.0.0.1:{7000 + number}",
        failure_domain=domain or f"d{number % 3}",
        status=EndpointStatus.LEAVING if leaving else EndpointStatus.LIVE,
        models=(MODEL,),
    )


def create_router(count: int = 6, domain: str = "", policy: str = "expected-time") -> Router:
    router = Router(failure_domain="d0", policy=policy, seed=1)
    router.update_endpoints([create_endpoint(i, domain) for i in range(count)], 0.0)
    return router


def create_load(now: float, running: int = 0, waiting: int = 0, **values: object) -> EngineLoad:
    boot_id = str(values.get("boot_id", "b"))
    return EngineLoad(
        boot_id=boot_id,
        running=running,
        waiting=waiting,
        cache_used=0.0,
        sampled_at=now,
        draining=bool(values.get("draining", False)),
        models=(MODEL,),
    )


def choose_names(router: Router, now: float, count: int = 40) -> set[str]:
    return {router.choose(REQUEST, now).unwrap().name for _ in range(count)}


@pytest.mark.parametrize("policy", ROUTING.names())
def test_every_policy_stays_in_its_own_domain_and_spills_when_it_is_full(policy: str) -> None:
    """Guards against needless traffic between domains, and against queueing in a full domain."""
    router = create_router(policy=policy)
    assert choose_names(router, 0.0) <= {"e0", "e3"}
    for name in ("e0", "e3"):
        router.record_load(name, create_load(0.0, running=8, waiting=9), 0.0)
    assert choose_names(router, 0.1) - {"e0", "e3"}


def test_own_domain_lost_spills_over() -> None:
    """Guards against requests sent to the dead engines of the own domain."""
    router = create_router()
    for name in ("e0", "e3"):
        router.record_end(name, REQUEST, AttemptOutcome.DIED, 1.0)
    assert not choose_names(router, 1.1) & {"e0", "e3"}


def test_returning_engine_is_brought_up_slowly() -> None:
    """Guards against a burst of requests to an engine that has just restarted."""
    router = create_router(count=3, domain="d0")
    for name in ("e0", "e1", "e2"):
        router.record_load(name, create_load(0.0), 0.0)
    router.record_end("e0", REQUEST, AttemptOutcome.DIED, 1.0)
    router.record_load("e0", create_load(1.5, boot_id="new"), 1.5)
    started = 0
    for _ in range(60):
        name = router.choose(REQUEST, 1.6).unwrap().name
        router.record_start(name, REQUEST, 1.6)
        started += name == "e0"
    assert started == 1


def test_streams_of_one_death_count_once() -> None:
    """Guards against a backoff that grows with the number of streams on a dead engine."""
    router = create_router(count=3, domain="d0")
    for _ in range(30):
        router.record_end("e0", REQUEST, AttemptOutcome.DIED, 1.0)
    assert router.is_down("e0", 1.9)
    assert not router.is_down("e0", 2.1)


def test_slow_engines_are_ejected_up_to_the_fraction() -> None:
    """Guards against ejection of most of a model's engines at once."""
    router = create_router(count=9, domain="d0")
    for number in range(9):
        for _ in range(2000):
            gap = 2.0 if number < 4 else 0.04
            router.record_tokens(f"e{number}", 1, gap, 1.0)
    ejected = {f"e{i}" for i in range(9)} - choose_names(router, 2.0, 300)
    assert len(ejected & {"e0", "e1", "e2", "e3"}) >= 3
    views = router._fleet.engines.values()
    assert sum(view.health.is_ejected(2.0) for view in views) == 3


def test_failing_engine_is_ejected_and_returns() -> None:
    """Guards against an engine that fails every request quickly and so attracts all requests."""
    router = create_router(count=3, domain="d0")
    for _ in range(5):
        router.record_end("e1", REQUEST, AttemptOutcome.REFUSED, 1.0)
    assert choose_names(router, 1.0) == {"e0", "e2"}
    assert "e1" in choose_names(router, 12.0)


def test_lagging_report_is_corrected_by_own_sends() -> None:
    """Guards against sending all requests between two load reports to one engine."""
    router = create_router(count=4, domain="d0")
    for number in range(4):
        router.record_load(f"e{number}", create_load(0.0), 0.0)
    counts = dict.fromkeys(("e0", "e1", "e2", "e3"), 0)
    for _ in range(40):
        name = router.choose(REQUEST, 0.1).unwrap().name
        router.record_start(name, REQUEST, 0.1)
        counts[name] += 1
    assert max(counts.values()) <= 12


def test_likely_prefix_attracts_and_a_gap_lowers_trust() -> None:
    """Guards against ignored cache events, and against full trust after a gap in them."""
    router = create_router(count=6, domain="d0")
    request = RouteRequest(workspace="w", model="m", prompt_tokens=20000, prefix_digests=(1, 2))
    stored = [CacheEvent(kind=CacheEventKind.STORED, digest=d) for d in (1, 2)]
    router.record_cache_events("e4", stored, 1, 0.0)
    assert router.choose(request, 0.0).unwrap().name == "e4"
    prefixes = router._fleet.engines["e4"].prefixes
    assert prefixes.estimate_cached_share((1, 2)) == 1.0
    router.record_cache_events("e4", [], 9, 0.0)
    assert prefixes.estimate_cached_share((1, 2)) == 0.5
    router.record_load("e4", create_load(0.0), 0.0)
    router.record_load("e4", create_load(1.0, boot_id="new"), 1.0)
    assert prefixes.estimate_cached_share((1, 2)) == 0.0


def test_leaving_lasts_until_listed_live_later_or_restarted() -> None:
    """Guards against new requests to a leaving endpoint that a lagging list shows as live."""
    router = create_router(count=2, domain="d0")
    listed = [create_endpoint(i, "d0") for i in range(2)]
    router.mark_leaving("e0", 1.0)
    router.record_load("e1", create_load(1.0), 1.0)
    router.update_endpoints(listed, 2.0)
    assert choose_names(router, 2.0) == {"e1"}
    router.update_endpoints([create_endpoint(0, "d0", leaving=True), listed[1]], 5.0)
    router.update_endpoints(listed, 9.0)
    assert not router.is_leaving("e0")
    router.record_load("e1", create_load(10.0, draining=True), 10.0)
    assert choose_names(router, 10.0) == {"e0"}
    router.record_load("e1", create_load(11.0, boot_id="new"), 11.0)
    assert not router.is_leaving("e1")


class FixedChoicePolicy:
    """A deliberately wrong policy that always returns the engine of its first choice."""

    def __init__(self) -> None:
        self.first: EngineView | None = None

    uses_sample: ClassVar[bool] = False

    def pick(
        self, request: RouteRequest, candidates: Sequence[EngineView], context: RoutingContext
    ) -> EngineView:
        self.first = self.first or candidates[0]
        return self.first


def test_wrong_policy_breaks_the_invariant() -> None:
    """Guards against a check of no-new-work-when-leaving that never fails."""
    router = create_router()
    router._policy = FixedChoicePolicy()
    name = router.choose(REQUEST, 0.0).unwrap().name
    router.mark_leaving(name, 0.5)
    with pytest.raises(BrokenInvariant, match="no-new-work-when-leaving"):
        router.choose(REQUEST, 1.0)


def test_probes_per_second_do_not_grow_with_the_fleet() -> None:
    """Guards against control traffic that grows with the number of engines."""
    for count in (30, 3000):
        router = create_router(count=count)
        sent = [name for tick in range(101) for name in router.list_probe_targets(tick / 10)]
        assert len(sent) <= 20 * 10 + 20
    assert len(set(sent)) == len(sent)


STEPS = st.lists(
    st.tuples(st.integers(0, 7), st.integers(0, 5), st.floats(0, 4)), min_size=1, max_size=60
)


@seed(7)
@settings(max_examples=150, deadline=None, database=None)
@given(steps=STEPS, policy=st.sampled_from(ROUTING.names()))
def test_random_sequences_never_choose_a_leaving_engine(
    steps: list[tuple[int, int, float]], policy: str
) -> None:
    """Guards against a sequence of events after which a leaving engine receives requests."""
    router = create_router(policy=policy)
    now = 0.0
    for kind, number, delay in steps:
        now += delay
        name = f"e{number}"
        apply_step(router, kind, name, now)
        chosen = router.choose(REQUEST, now)
        if chosen.is_ok():
            assert not router.is_leaving(chosen.unwrap().name)
        else:
            assert all(router.is_leaving(f"e{i}") for i in range(6))


def apply_step(router: Router, kind: int, name: str, now: float) -> None:
    if kind == 0:
        router.mark_leaving(name, now)
    elif kind == 1:
        router.record_load(name, create_load(now, boot_id=str(now), draining=True), now)
    elif kind == 2:
        router.record_end(name, REQUEST, AttemptOutcome.DIED, now)
    elif kind == 3:
        router.record_load(name, create_load(now, running=40, waiting=3), now)
    elif kind == 4:
        leaving = int(name[1:])
        router.update_endpoints([create_endpoint(i, "", i == leaving) for i in range(6)], now)
    elif kind == 5:
        router.record_tokens(name, 1, 3.0, now)
    elif kind == 6:
        router.record_start(name, REQUEST, now)
    else:
        router.record_end(name, REQUEST, AttemptOutcome.REFUSED, now)


def test_a_short_prompt_does_not_make_an_engine_appear_slow() -> None:
    """Guards against an engine that is never chosen again after a prompt of a few tokens.

    The first token of a short prompt takes a time that does not depend on its length.
    """
    router = create_router(count=2, domain="d0")
    long_request = RouteRequest(workspace="w", model="m", prompt_tokens=4000, max_tokens=200)
    for _ in range(3):
        router.record_first_token(
            "e0", RouteRequest(workspace="w", model="m", prompt_tokens=2), 0.3, 0.0
        )
    chosen = {router.choose(long_request, 0.0).unwrap().name for _ in range(40)}
    assert chosen == {"e0", "e1"}


def test_a_long_prompt_measures_the_prefill_time() -> None:
    """Guards against estimates that never learn that an engine is slow."""
    router = create_router(count=2, domain="d0")
    long_request = RouteRequest(workspace="w", model="m", prompt_tokens=4000, max_tokens=200)
    router.record_first_token("e0", long_request, 20.0, 0.0)
    chosen = {router.choose(long_request, 0.0).unwrap().name for _ in range(40)}
    assert chosen == {"e1"}
