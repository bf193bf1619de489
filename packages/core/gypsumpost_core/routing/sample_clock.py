"""Conversion of Unix times in load reports to monotonic time."""

import attrs


@attrs.define(kw_only=True)
class SampleClock:
    """Maps an engine's sample times to this process's time.

    The smallest observed difference between arrival and sample time is used as the offset between
    the two clocks, so a wrong clock of an engine does no harm. The constant part of the delay is
    included in the offset; it is small compared with the interval between samples.
    """

    _offset: float | None = None

    def convert(self, sampled_at: float, now: float) -> float:
        """Return the monotonic time of a sample.

        :param sampled_at: Unix time of the sample by the engine's clock, in seconds.
        :param now: monotonic time of its arrival in seconds.
        """
        offset = now - sampled_at
        self._offset = offset if self._offset is None else min(self._offset, offset)
        return sampled_at + self._offset

    def reset(self) -> None:
        """Discard the offset after a restart of the engine."""
        self._offset = None
