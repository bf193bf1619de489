"""Number of requests and retries to a service within a time window."""

import attrs


@attrs.frozen(kw_only=True)
class RetryCount:
    """Counts from which the retry budget of a service is computed.

    :param requests: requests of callers.
    :param retries: sends of a request after the first.
    """

    requests: int = 0
    retries: int = 0

    def __add__(self, other: "RetryCount") -> "RetryCount":
        return RetryCount(
            requests=self.requests + other.requests, retries=self.retries + other.retries
        )
