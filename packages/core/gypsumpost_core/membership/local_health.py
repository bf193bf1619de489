"""Health of this process as its own probes show it."""

MAX_SCORE = 8
SLOWDOWN_PER_POINT = 0.5


class LocalHealth:
    """Slows this process's suspicions while it is late or loses datagrams itself."""

    def __init__(self) -> None:
        self._score = 0

    @property
    def factor(self) -> float:
        """Return the factor on timeouts, from 1 to 5."""
        return 1 + self._score * SLOWDOWN_PER_POINT

    def note_success(self) -> None:
        """Count a probe that was answered at once."""
        self._score = max(0, self._score - 1)

    def note_trouble(self, points: int = 1) -> None:
        """Count a late tick, or an acknowledgement missed for a cause near this process.

        :param points: weight of the observation.
        """
        self._score = min(MAX_SCORE, self._score + points)
