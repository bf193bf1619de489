"""Metrics of generations and their attempts."""

from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_daemon.telemetry.metrics import Metrics


class GenerationMetrics:
    """Counts attempts and takeovers and records how long callers wait.

    :param metrics: metrics of the daemon.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._attempts = metrics.add_counter(
            "gypsumpost_attempts_total", "Attempts on engines by outcome.", "outcome"
        )
        self._takeovers = metrics.add_counter(
            "gypsumpost_takeovers_total", "Generations taken over from other daemons."
        )
        self._first_token = metrics.add_durations(
            "gypsumpost_first_token_seconds",
            "Time from a generation's start to its first token from an engine.",
        )
        self._stall = metrics.add_durations(
            "gypsumpost_resumption_stall_seconds",
            "Time without a token at each resumption; from the takeover on if the daemon changed.",
        )

    def record_attempt(self, outcome: AttemptOutcome) -> None:
        """Count an ended attempt.

        :param outcome: outcome of the attempt.
        """
        self._attempts.add(outcome.value)

    def record_takeover(self) -> None:
        """Count a generation taken over from another daemon."""
        self._takeovers.add()

    def record_first_token(self, seconds: float) -> None:
        """Record the wait for the first token.

        :param seconds: time from the start of the generation to the first token.
        """
        self._first_token.record(seconds)

    def record_stall(self, seconds: float) -> None:
        """Record the duration of a stall after a resumption has ended it.

        :param seconds: time without a token.
        """
        self._stall.record(seconds)
