"""Metrics of a daemon."""

from collections.abc import Callable, Mapping

from gypsumpost_daemon.telemetry.counter import Counter
from gypsumpost_daemon.telemetry.duration_summary import DurationSummary
from gypsumpost_daemon.telemetry.gauge import Gauge
from gypsumpost_daemon.telemetry.gauge_family import GaugeFamily

Metric = Counter | Gauge | GaugeFamily | DurationSummary


class Metrics:
    """All metrics by name; each component of the daemon adds and updates its own."""

    def __init__(self) -> None:
        self._metrics: dict[str, Metric] = {}

    def add_counter(self, name: str, help: str, *labels: str) -> Counter:
        """Add a counter.

        :param name: name with the suffix ``_total``.
        :param help: what it counts.
        :param labels: names of its labels; each must have few distinct values.
        """
        counter = Counter(name=name, help=help, labels=labels)
        self._add(counter)
        return counter

    def add_gauge(self, name: str, help: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read at each scrape.

        :param name: name of the metric.
        :param help: what it measures.
        :param read: returns the value; must not block.
        """
        self._add(Gauge(name=name, help=help, read=read))

    def add_gauge_family(
        self,
        name: str,
        help: str,
        *labels: str,
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        """Add a gauge with labels that is read at each scrape.

        :param name: name of the metric.
        :param help: what it measures.
        :param labels: names of its labels; each must have few distinct values.
        :param read: returns the values by label values; must not block.
        """
        self._add(GaugeFamily(name=name, help=help, labels=labels, read=read))

    def add_durations(self, name: str, help: str) -> DurationSummary:
        """Add a summary of durations with percentiles.

        :param name: name with the suffix ``_seconds``.
        :param help: what it measures.
        """
        durations = DurationSummary(name=name, help=help)
        self._add(durations)
        return durations

    def list_all(self) -> list[Metric]:
        """Return all metrics, sorted by name."""
        return [self._metrics[name] for name in sorted(self._metrics)]

    def _add(self, metric: Metric) -> None:
        if metric.name in self._metrics:
            raise ValueError(f"the metric {metric.name} is added twice")
        self._metrics[metric.name] = metric
