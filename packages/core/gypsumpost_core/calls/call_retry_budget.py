"""A budget that limits retries to a fraction of first attempts."""

RETRY_RATIO = 0.1
"""Retries per first attempt: at most 10% extra load (docs/design.md section 1.7)."""

RETRY_BURST = 10.0
INITIAL_RETRIES = 3.0
"""Allows a few retries before a new daemon has made enough first attempts to earn one."""


class CallRetryBudget:
    """Adds a fraction of a retry to its balance for each first attempt.

    :param ratio: retries earned by one first attempt.
    :param burst: maximum balance, in retries.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = min(burst, INITIAL_RETRIES)

    def record_first_attempt(self) -> None:
        """Add ``ratio`` retries to the balance, up to ``burst``."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_acquire(self) -> bool:
        """Deduct one retry and return true, or return false if less than one is available."""
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
