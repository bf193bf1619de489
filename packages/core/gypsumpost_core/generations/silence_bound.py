"""How long a stream may be silent before its engine counts as lost."""

import attrs

from gypsumpost_core.smoothed_value import SmoothedValue


@attrs.frozen(kw_only=True)
class SilenceSettings:
    """Settings of the silence bound.

    :param deviations: deviations above the mean gap that are still normal.
    :param floor: seconds of silence that are always accepted; covers a pause of this daemon.
    :param ceiling: most seconds of silence. With 3 s as the limit of a stall it leaves 1.2 s to
        open a stream elsewhere and to prefill.
    :param first_token_factor: accepted multiple of the expected wait for the first token.
    :param first_token_ceiling: most seconds of silence before the first token.
    """

    deviations: float = 8.0
    floor: float = 0.4
    ceiling: float = 1.8
    first_token_factor: float = 4.0
    first_token_ceiling: float = 10.0


@attrs.define(kw_only=True)
class SilenceBound:
    """An estimate of one engine's token gaps and the bound that follows from it.

    :param settings: factor, floor and ceiling.
    """

    settings: SilenceSettings = attrs.field(factory=SilenceSettings)
    _gaps: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))
    _expected: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))

    def observe_gap(self, gap: float, expected: float) -> None:
        """Take in a gap between two deliveries of tokens on one stream.

        :param gap: seconds since the delivery before.
        :param expected: seconds per token that the engine's estimate gives for its load then.
        """
        self._gaps.observe(gap)
        self._expected.observe(expected)

    def get_mean_gap(self) -> float:
        """Return the mean gap in seconds, 0 before the first gap."""
        return self._gaps.mean

    def compute_bound(self, expected: float) -> float:
        """Return the accepted silence in seconds.

        :param expected: seconds per token that the engine's estimate gives for its load now.
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
        # Falling load does not lower the bound: the gaps observed since do that.
        if self._expected.mean <= 0:
            return 1.0
        return max(1.0, expected / self._expected.mean)

    def _clamp(self, seconds: float, ceiling: float) -> float:
        return min(max(seconds, self.settings.floor), ceiling)
