"""Chooses the endpoint for a call."""

from collections.abc import Collection, Sequence

from gypsumpost_core.gateway.endpoint_state import EndpointState

DEFAULT_ANSWER_SECONDS = 0.03
"""Answer time assumed for an endpoint before its first answer."""

CROSS_DOMAIN_SECONDS = 0.004
"""Cost added for an endpoint in another domain, because traffic between domains is slow and
expensive; a tie goes to the own domain."""

FAILURE_WEIGHT = 8.0
"""Weight of the failure ratio; an endpoint that fails half of its requests costs five times as
much."""


def choose_endpoint(
    states: Sequence[EndpointState], *, failure_domain: str, tried: Collection[str]
) -> EndpointState | None:
    """Return the endpoint with the lowest expected answer time, ``None`` if all were tried.

    Endpoints marked lost are chosen only if no other endpoint remains.

    :param states: endpoints of the service that accept new requests.
    :param failure_domain: failure domain of this host.
    :param tried: ids of endpoints to exclude because they were tried before.
    """
    untried = [state for state in states if state.record.endpoint_id not in tried]
    usable = [state for state in untried if not state.lost] or untried
    if not usable:
        return None
    return min(usable, key=lambda state: estimate_seconds(state, failure_domain))


def estimate_seconds(state: EndpointState, failure_domain: str) -> float:
    """Return the expected answer time in seconds, increased by a penalty for failures.

    :param state: the endpoint.
    :param failure_domain: failure domain of this host.
    """
    seconds = state.answer_seconds or DEFAULT_ANSWER_SECONDS
    queue_factor = 1 + state.pending / max(1, state.record.slots)
    domain_seconds = 0.0 if state.record.failure_domain == failure_domain else CROSS_DOMAIN_SECONDS
    return seconds * queue_factor * (1 + FAILURE_WEIGHT * state.failure_ratio) + domain_seconds
