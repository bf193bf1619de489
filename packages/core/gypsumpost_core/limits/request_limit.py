"""The limit on requests that an endpoint has named in its answers."""

import attrs

LOWEST_RATE = 0.1
"""Requests per second that are sent in spite of a lower limit. Only an answer shows that a limit
has ended."""


@attrs.frozen(kw_only=True)
class RequestLimit:
    """How many requests a second an endpoint takes from all hosts together.

    :param key: identifies one process of an endpoint.
    :param per_second: requests per second, ``None`` once the endpoint has answered without a limit.
    :param number: number of the change; hosts take the limit with the higher number for the newer.
    """

    key: str
    per_second: float | None
    number: int

    def is_newer_than(self, other: "RequestLimit") -> bool:
        """Return true if this limit replaces another one of the same endpoint.

        Two hosts may hear different values at the same moment and number both alike; the lower
        limit then holds on all hosts.

        :param other: the other limit.
        """
        if self.number != other.number:
            return self.number > other.number
        if self.per_second is None:
            return False
        return other.per_second is None or self.per_second < other.per_second
