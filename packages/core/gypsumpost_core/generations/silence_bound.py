"""Timeout between tokens after which an engine is considered lost."""

import attrs

from gypsumpost_core.smoothed_value import SmoothedValue


@attrs.frozen(kw_only=True)
class SilenceSettings:
    """Settings of the silence bound.

    :param deviations: accepted number of deviations above the mean gap.
    :param floor: minimum of the bound in seconds; covers a pause of this daemon.
    :param ceiling: maximum of the bound in seconds. With a stall limit of 3 s, 1.8 s leaves 1.2 s
        to open a stream on another engine and to prefill.
    :param first_token_factor: accepted multiple of the expected wait for the first token.
    :param first_token_ceiling: maximum wait for the first token in seconds.
    """

    deviations: float = 8.0
    floor: float = 0.4
    ceiling: float = 1.8
    first_token_factor: float = 4.0
    first_token_ceiling: float = 10.0


@attrs.define(kw_only=True)
class SilenceBound:
    """Estimates the token gaps of one engine and derives the accepted silence from them.

    :param settings: factors and limits of the bound.
    """

    settings: SilenceSettings = attrs.field(factory=SilenceSettings)
    _gaps: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))
    _expected_gaps: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))

    def observe_gap(self, gap: float, expected: float) -> None:
        """Record the gap between two consecutive deliveries of tokens on one stream.

        :param gap: seconds since the previous delivery.
        :param expected: seconds per token that the engine's estimate predicted for its load at the
            time.
        """
        self._gaps.observe(gap)
        self._expected_gaps.observe(expected)

    def get_mean_gap(self) -> float:
        """Return the mean gap in seconds, 0 if no gap was recorded."""
        return self._gaps.mean

    def compute_bound(self, expected: float) -> float:
        """Return the accepted silence in seconds, the ceiling if no gap was recorded.

        :param expected: seconds per token that the engine's estimate predicts for its current load.
        """
        if not self._gaps.count:
            return self.settings.ceiling
        usual = self._gaps.mean + self.settings.deviations * self._gaps.deviation
        return self._clamp(usual * self._compute_load_factor(expected), self.settings.ceiling)

    def compute_first_token_bound(self, expected_wait: float) -> float:
        """Return the accepted wait for the first token in seconds.

        :param expected_wait: expected seconds to the first token.
        """
        accepted = self.settings.first_token_factor * expected_wait + self.settings.ceiling
        return self._clamp(accepted, self.settings.first_token_ceiling)

    def _compute_load_factor(self, expected: float) -> float:
        # Decreasing load does not lower the bound directly; the recorded gaps will.
        if self._expected_gaps.mean <= 0:
            return 1.0
        return max(1.0, expected / self._expected_gaps.mean)

    def _clamp(self, seconds: float, ceiling: float) -> float:
        return min(max(seconds, self.settings.floor), ceiling)
