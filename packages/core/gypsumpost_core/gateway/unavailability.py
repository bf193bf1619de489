"""Why an endpoint takes no new request now."""

import enum

from gypsumpost_core.gateway.endpoint_state import EndpointState


class Unavailability(enum.Enum):
    """Reasons against using an endpoint for a new request, a resumption or a copy."""

    DRAINING = "draining"
    LEAVING = "leaving"
    CLOSED = "closed"
    LIMITED = "limited"
    LOST = "lost"


def find_unavailability(state: EndpointState, now: float) -> Unavailability | None:
    """Return why an endpoint must not be used, ``None`` if it may.

    :param state: the endpoint.
    :param now: monotonic time in seconds.
    """
    if state.record.leaving:
        return Unavailability.DRAINING
    if state.said_leaving:
        return Unavailability.LEAVING
    if state.is_closed(now):
        return Unavailability.CLOSED
    if state.is_limited(now):
        return Unavailability.LIMITED
    return Unavailability.LOST if state.lost else None
