"""Requests and repeated sends to a service in a window of time."""

import attrs


@attrs.frozen(kw_only=True)
class RetryCount:
    """What counts for the retry budget of a service.

    :param requests: requests of callers.
    :param repeats: sends of a request beyond its first.
    """

    requests: int = 0
    repeats: int = 0

    def __add__(self, other: "RetryCount") -> "RetryCount":
        return RetryCount(
            requests=self.requests + other.requests, repeats=self.repeats + other.repeats
        )
