"""Health score of this process, based on its own ticks and probes."""

MAX_SCORE = 8
SLOWDOWN_PER_POINT = 0.5


class LocalHealth:
    """Lengthens this process's timeouts while it is itself late or loses datagrams."""

    def __init__(self) -> None:
        self._score = 0

    @property
    def factor(self) -> float:
        """Return the factor applied to timeouts, from 1 to 5."""
        return 1 + self._score * SLOWDOWN_PER_POINT

    def record_success(self) -> None:
        """Record a probe that was answered on the first ping."""
        self._score = max(0, self._score - 1)

    def record_trouble(self, points: int = 1) -> None:
        """Record a late tick or missing acknowledgements that this process may have caused.

        :param points: weight of the observation.
        """
        self._score = min(MAX_SCORE, self._score + points)
