"""Ranks the endpoints for a call."""

import random
from collections.abc import Collection, Sequence

from gypsumpost_core.gateway.endpoint_ejection import exclude_ejected, find_test_endpoint
from gypsumpost_core.gateway.endpoint_state import EndpointState

CROSS_DOMAIN_SECONDS = 0.004
"""Cost added for an endpoint in another domain, because traffic between domains is slow and
expensive; a tie goes to the own domain."""

FAILURE_WEIGHT = 8.0
"""Weight of the failure ratio; an endpoint that fails half of its requests costs five times as
much."""

DRAWN_ENDPOINTS = 2


def rank_endpoints(
    states: Sequence[EndpointState],
    *,
    failure_domain: str,
    tried: Collection[str],
    now: float,
    rng: random.Random,
) -> list[EndpointState]:
    """Return the endpoints by expected answer time, the lowest first; none if all were tried.

    Endpoints marked lost are used only if no other endpoint remains, and so are ejected ones; one
    of those goes first if its test call is due, unless the call has failed at another one. The
    better one of two random endpoints goes first where endpoints state their load, since hosts that
    know the same load would otherwise all choose the same endpoint.

    :param states: endpoints of the service that accept new requests.
    :param failure_domain: failure domain of this host.
    :param tried: ids of endpoints to exclude because they were tried before.
    :param now: monotonic time in seconds.
    :param rng: random number generator that draws the two endpoints.
    """
    untried = [state for state in states if state.record.endpoint_id not in tried]
    present = [state for state in untried if not state.lost] or untried
    ranked = exclude_ejected(present)
    ranked.sort(key=lambda state: estimate_seconds(state, failure_domain, now))
    if any(state.load is not None for state in ranked):
        drawn = rng.sample(range(len(ranked)), min(DRAWN_ENDPOINTS, len(ranked)))
        ranked.insert(0, ranked.pop(min(drawn)))
    tested = None if tried else find_test_endpoint(present, now)
    if tested is not None:
        ranked.insert(0, tested)
    return ranked


def estimate_seconds(state: EndpointState, failure_domain: str, now: float) -> float:
    """Return the expected answer time in seconds, increased by a penalty for failures.

    :param state: the endpoint.
    :param failure_domain: failure domain of this host.
    :param now: monotonic time in seconds.
    """
    domain_seconds = 0.0 if state.record.failure_domain == failure_domain else CROSS_DOMAIN_SECONDS
    failure_factor = 1 + FAILURE_WEIGHT * state.failure_ratio
    return estimate_answer_seconds(state, now) * failure_factor + domain_seconds


def estimate_answer_seconds(state: EndpointState, now: float) -> float:
    """Return the expected answer time in seconds.

    :param state: the endpoint.
    :param now: monotonic time in seconds.
    """
    if state.load is not None and state.work_seconds:
        return state.work_seconds * state.compute_slowdown(now)
    return state.expected_seconds * (1 + state.pending / max(1, state.record.slots))
