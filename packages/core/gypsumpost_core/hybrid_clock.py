"""Hybrid logical clock that orders events across processes."""

MILLISECOND_SHIFT = 16
"""The low 16 bits count events within one millisecond."""


class HybridClock:
    """Timestamps that follow the wall clock and respect causality.

    A message carries its sender's timestamp. The receiver observes it, so that each of its later
    events gets a higher timestamp even if its wall clock is behind.
    """

    def __init__(self) -> None:
        self._last = 0

    def read(self, unix_time: float) -> int:
        """Return the next timestamp for a local event.

        :param unix_time: current Unix time in seconds.
        """
        physical = int(unix_time * 1000) << MILLISECOND_SHIFT
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, timestamp: int) -> None:
        """Advance the clock past a timestamp received in a message.

        :param timestamp: the sender's timestamp.
        """
        self._last = max(self._last, timestamp)
