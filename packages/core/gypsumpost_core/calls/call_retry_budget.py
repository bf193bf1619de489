"""A budget that bounds retries as a share of first attempts."""

RETRY_RATIO = 0.1
"""Retries add at most 10% to the first attempts (docs/design.md section 1.7)."""

RETRY_BURST = 10.0
INITIAL_RETRIES = 3.0
"""A fresh daemon may retry before it has seen enough first attempts to earn a retry."""


class CallRetryBudget:
    """Earns a share of a retry with each first attempt.

    :param ratio: retries earned by one first attempt.
    :param burst: most retries that can be saved up.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved = min(burst, INITIAL_RETRIES)

    def note_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True
