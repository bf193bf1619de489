"""Requests and repeated sends of this host to one service."""

from collections import deque

import attrs

from gypsumpost_core.gateway.retry_count import RetryCount


@attrs.define(kw_only=True)
class RetryWindow:
    """Counts over a sliding window of time."""

    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _repeats: deque[float] = attrs.field(factory=deque, init=False)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def note_repeat(self, now: float) -> None:
        """Count a repeated send."""
        self._repeats.append(now)

    def count(self, since: float) -> RetryCount:
        """Return the counts of a window, and forget what is older.

        :param since: process time in seconds at which the window begins.
        """
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
        return RetryCount(requests=len(self._requests), repeats=len(self._repeats))

    def count_repeats(self, since: float) -> int:
        """Return the repeated sends since a time within the window.

        :param since: process time in seconds.
        """
        return sum(at >= since for at in self._repeats)
