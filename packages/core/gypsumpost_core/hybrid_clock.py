"""A hybrid logical clock for the order of events over all processes."""

MILLISECOND_SHIFT = 16
"""The low 16 bits count events within one millisecond."""


class HybridClock:
    """Timestamps that follow the wall clock and never contradict cause and effect.

    A message carries its sender's timestamp; the receiver observes it, so that every later event
    of the receiver has a higher timestamp even when its wall clock is behind.
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
        """Move the clock past a timestamp that arrived in a message.

        :param timestamp: the sender's timestamp.
        """
        self._last = max(self._last, timestamp)
