"""Tests of routing in a failure domain with many engines."""

import attrs

from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.router import Router
from gypsumpost_core.tests.test_router import create_endpoint


def test_a_large_domain_is_sampled_without_loss_of_cached_prefixes() -> None:
    """Guards against choices that compare every engine or miss the one with the prefix."""
    router = Router(failure_domain="d0", seed=4)
    domains = ["d0"] * 200 + ["d1"] * 200
    endpoints = [
        attrs.evolve(create_endpoint(n, domain), name=f"n{n}") for n, domain in enumerate(domains)
    ]
    router.update_endpoints(endpoints, 0.0)
    request = RouteRequest(workspace="w", model="m", prompt_tokens=4000, prefix_digests=(1, 2))
    router.record_start("n150", request, 1.0)
    names = [router.choose(request, 2.0).unwrap().name for _ in range(20)]
    assert set(names) == {"n150"}
    other = attrs.evolve(request, prefix_digests=())
    spread = {router.choose(other, 2.0).unwrap().name for _ in range(200)}
    assert len(spread) > 50
    assert all(int(name[1:]) < 200 for name in spread)
    left = attrs.evolve(other, excluded=frozenset(f"n{n}" for n in range(199)))
    assert router.choose(left, 2.0).unwrap().name == "n199"
