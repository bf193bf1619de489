"""Tests of the choice of an endpoint for a call."""

import random

from gypsumpost_core.gateway.endpoint_choice import rank_endpoints
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record, get_state


def choose(fleet, tried=()):
    states = fleet.list_service("model")
    ranked = rank_endpoints(states, failure_domain="a", tried=tried, now=1.0, rng=random.Random(1))
    return ranked[0].record.endpoint_id if ranked else None


def test_the_local_domain_is_preferred():
    """Guards against expensive traffic between domains."""
    assert choose(create_fleet(create_record("b1", "b"), create_record("a1"))) == "a1"


def test_a_failing_endpoint_is_avoided():
    """Guards against calls to an endpoint that fails while its health check succeeds."""
    fleet = create_fleet(create_record("a1"), create_record("b1", "b"))
    for _ in range(5):
        get_state(fleet, "a1").observe_answer(0.02, failed=True)
    assert choose(fleet) == "b1"


def test_a_slow_endpoint_is_avoided():
    """Guards against calls to an endpoint that has become slow."""
    fleet = create_fleet(create_record("a1"), create_record("b1", "b"))
    get_state(fleet, "a1").observe_answer(0.3, failed=False)
    assert choose(fleet) == "b1"


def test_lost_endpoints_are_the_last_resort():
    """Guards against refusing calls because of a single failed probe."""
    fleet = create_fleet(create_record("a1"), create_record("b1", "b"))
    fleet.mark_lost("a1", 1, now=1.0)
    assert choose(fleet) == "b1"
    assert choose(fleet, tried=["b1"]) == "a1"
    assert choose(fleet, tried=["a1", "b1"]) is None
