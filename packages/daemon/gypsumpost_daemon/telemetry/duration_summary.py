"""Percentiles of durations."""

from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
"""A resolution of 1% keeps a histogram at 30 KB."""


@attrs.define(kw_only=True)
class DurationSummary:
    """Histogram of durations from 1 µs to 1 hour since the start of the process.

    Recording takes a few microseconds, so durations of single tokens are not recorded.

    :param name: name of the metric.
    :param help: what it measures.
    """

    name: str
    help: str
    total_seconds: float = attrs.field(default=0.0, init=False)
    _histogram: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Record a duration; values outside the range are clamped.

        :param seconds: the duration.
        """
        self.total_seconds += seconds
        microseconds = min(HIGHEST_MICROSECONDS, max(1, round(seconds * 1e6)))
        self._histogram.record_value(microseconds)

    def compute_percentile(self, percentile: float) -> float:
        """Return a percentile of the durations in seconds.

        :param percentile: from 0 to 100.
        """
        return float(self._histogram.get_value_at_percentile(percentile)) / 1e6
