"""A host's question whether it may send one request to endpoints with limits."""

import attrs

from gypsumpost_core.limits.request_limit import RequestLimit


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Asks for one request to one of several endpoints that can stand in for each other.

    :param group: name of what the endpoints have in common, such as their service.
    :param limits: the limits of the endpoints, in order of preference; none if the group shares an
        amount of its own.
    :param priority: lower values go first.
    :param queue_until: monotonic time in seconds until which it may wait behind other requests.
    :param deadline: monotonic time in seconds until which it may wait if no other one waits, so
        that what the endpoints take is used while there is a demand.
    """

    group: str
    limits: tuple[RequestLimit, ...]
    priority: int
    queue_until: float
    deadline: float

    @property
    def keys(self) -> tuple[str, ...]:
        """What the permit may be for, in order of preference; the group itself if not endpoints."""
        return tuple(limit.key for limit in self.limits) or (self.group,)
