"""Measures how long the readers of one generation wait."""

import attrs

from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics


@attrs.define(kw_only=True)
class StallTimer:
    """Measures the wait for the first token and the stall of each resumption.

    :param metrics: where the waits are recorded.
    :param started_at: process time in seconds at which this daemon began with the generation.
    :param resumed: true if it has output already, because another daemon began it.
    """

    metrics: GenerationMetrics
    started_at: float
    resumed: bool
    _waiting_since: float | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._waiting_since = self.started_at

    def note_loss(self, last_token_at: float) -> None:
        """Note that a stream was lost or given up.

        :param last_token_at: process time of its last token in seconds.
        """
        if self._waiting_since is None:
            self._waiting_since = last_token_at

    def note_tokens(self, now: float) -> None:
        """Note that tokens have arrived.

        :param now: process time in seconds.
        """
        if self._waiting_since is None:
            return
        wait = now - self._waiting_since
        if self.resumed:
            self.metrics.record_stall(wait)
        else:
            self.metrics.record_first_token(wait)
        self._waiting_since, self.resumed = None, True
