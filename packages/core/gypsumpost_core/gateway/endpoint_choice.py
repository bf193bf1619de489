"""Chooses the endpoint of a call."""

from collections.abc import Collection, Sequence

from gypsumpost_core.gateway.endpoint_state import EndpointState

USUAL_SECONDS = 0.03
"""Answer time assumed before an endpoint has answered."""

CROSS_DOMAIN_SECONDS = 0.004
"""Traffic between domains costs time and money; a tie is decided for the own domain."""

FAILURE_FACTOR = 8.0
"""How much a failing endpoint is avoided; at half of its requests failed, five times as much."""


def choose_endpoint(
    states: Sequence[EndpointState], *, failure_domain: str, tried: Collection[str]
) -> EndpointState | None:
    """Return the endpoint with the least expected time, lost ones only if no other is left.

    :param states: endpoints of the service that take new work.
    :param failure_domain: domain of this host.
    :param tried: ids of endpoints that are not to be used again.
    """
    fresh = [state for state in states if state.record.endpoint_id not in tried]
    usable = [state for state in fresh if not state.lost] or fresh
    if not usable:
        return None
    return min(usable, key=lambda state: estimate_seconds(state, failure_domain))


def estimate_seconds(state: EndpointState, failure_domain: str) -> float:
    """Return the expected time of an answer, with failures weighed in.

    :param state: the endpoint.
    :param failure_domain: domain of this host.
    """
    seconds = state.seconds or USUAL_SECONDS
    queue = 1 + state.pending / max(1, state.record.slots)
    distance = 0.0 if state.record.failure_domain == failure_domain else CROSS_DOMAIN_SECONDS
    return seconds * queue * (1 + FAILURE_FACTOR * state.failure_ratio) + distance
