"""A share of the deployment's budget of repeated sends."""

from collections import deque

import attrs


@attrs.define(kw_only=True)
class RetryWindow:
    """Bounds the repeated sends to one service in any window of time.

    Each host uses its own requests and an equal part of the fixed allowance, so that the hosts
    together keep to the budget without a call to anybody.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed in a window without regard to requests, all hosts together.
    :param window: length of the window in seconds.
    """

    ratio: float
    allowance: float
    window: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _repeats: deque[float] = attrs.field(factory=deque, init=False)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._forget(now)
        self._requests.append(now)

    def try_spend(self, now: float, hosts: int) -> bool:
        """Count a repeat if the budget allows it.

        :param now: process time in seconds.
        :param hosts: number of hosts that share the allowance.
        """
        self._forget(now)
        if self.compute_left(hosts) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def compute_left(self, hosts: int) -> float:
        """Return the repeats that are left in the present window.

        :param hosts: number of hosts that share the allowance.
        """
        allowed = self.ratio * len(self._requests) + self.allowance / max(1, hosts)
        return allowed - len(self._repeats)

    def _forget(self, now: float) -> None:
        oldest = now - self.window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
