"""A limit on calls per second."""


class RateLimit:
    """Token bucket with a capacity of one second's worth of calls.

    :param per_second: calls per second.
    """

    def __init__(self, *, per_second: float) -> None:
        self._per_second = per_second
        self._available = per_second
        self._updated: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Count a call and return whether it is within the limit.

        :param now: current time in seconds.
        """
        elapsed = 0.0 if self._updated is None else now - self._updated
        self._updated = now
        self._available = min(self._per_second, self._available + elapsed * self._per_second)
        if self._available < 1:
            return False
        self._available -= 1
        return True
