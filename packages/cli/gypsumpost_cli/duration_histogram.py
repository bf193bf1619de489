"""A histogram of durations."""

from typing import Any

from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


class DurationHistogram:
    """Counts durations from 1 µs to 1 hour with a resolution of 0.1%."""

    def __init__(self) -> None:
        self._histogram: Any = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Count a duration.

        :param seconds: the duration.
        """
        microseconds = min(HIGHEST_MICROSECONDS, max(1, round(seconds * 1e6)))
        self._histogram.record_value(microseconds)

    def summarize(self) -> dict[str, float]:
        """Return count, percentiles and maximum in seconds; only the count if it is 0."""
        count = self._histogram.get_total_count()
        if not count:
            return {"count": 0}
        summary = {"count": count}
        for percentile in PERCENTILES:
            value = self._histogram.get_value_at_percentile(percentile)
            summary[f"p{percentile}"] = round(value / 1e6, 6)
        return summary | {"max": round(self._histogram.get_max_value() / 1e6, 6)}
