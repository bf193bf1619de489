"""Requests and retries of this host to one service."""

from collections import deque

import attrs

from gypsumpost_core.gateway.retry_count import RetryCount


@attrs.define(kw_only=True)
class RetryWindow:
    """Counts requests and retries over a sliding time window."""

    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _retries: deque[float] = attrs.field(factory=deque, init=False)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def count(self, since: float) -> RetryCount:
        """Return the counts of a window and drop older entries.

        :param since: monotonic time in seconds at which the window starts.
        """
        for times in (self._requests, self._retries):
            while times and times[0] < since:
                times.popleft()
        return RetryCount(requests=len(self._requests), retries=len(self._retries))

    def count_retries(self, since: float) -> int:
        """Return the number of retries since a time within the window.

        :param since: monotonic time in seconds.
        """
        return sum(at >= since for at in self._retries)
