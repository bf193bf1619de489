"""Measures how long the readers of a generation wait for tokens."""

import attrs

from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics


@attrs.define(kw_only=True)
class StallTimer:
    """Measures the wait for the first token and the stall at each resumption.

    :param metrics: records the measured times.
    :param started_at: monotonic time in seconds at which this daemon started the generation.
    :param resumed: true if the generation already has output from another daemon.
    """

    metrics: GenerationMetrics
    started_at: float
    resumed: bool
    _waiting_since: float | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._waiting_since = self.started_at

    def record_loss(self, last_token_at: float) -> None:
        """Record that a stream was lost or abandoned; a stall starts at its last token.

        :param last_token_at: monotonic time in seconds of its last token.
        """
        if self._waiting_since is None:
            self._waiting_since = last_token_at

    def record_arrival(self, now: float) -> None:
        """Record that tokens have arrived, which ends a wait or stall.

        :param now: monotonic time in seconds.
        """
        if self._waiting_since is None:
            return
        wait = now - self._waiting_since
        if self.resumed:
            self.metrics.record_stall(wait)
        else:
            self.metrics.record_first_token(wait)
        self._waiting_since, self.resumed = None, True
