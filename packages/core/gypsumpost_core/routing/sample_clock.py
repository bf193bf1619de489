"""Conversion of Unix times in load reports to process time."""

import attrs


@attrs.define(kw_only=True)
class SampleClock:
    """Maps an engine's sample times to this process's time.

    The smallest difference seen between arrival and sample stands for the offset between both
    clocks, so that a wrong clock of an engine does no harm. It overlooks the constant part of the
    lag, which is small beside the interval between samples.
    """

    _offset: float | None = None

    def convert(self, sampled_at: float, now: float) -> float:
        """Return the process time of a sample.

        :param sampled_at: Unix time of the sample by the engine's clock.
        :param now: process time of its arrival.
        """
        offset = now - sampled_at
        self._offset = offset if self._offset is None else min(self._offset, offset)
        return sampled_at + self._offset

    def reset(self) -> None:
        """Forget the offset, because the engine has restarted."""
        self._offset = None
