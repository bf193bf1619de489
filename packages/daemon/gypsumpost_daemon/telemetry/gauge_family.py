"""A gauge with a value for each combination of labels, read at each scrape."""

from collections.abc import Callable, Mapping

import attrs


@attrs.frozen(kw_only=True)
class GaugeFamily:
    """A metric whose current values are read at each scrape.

    :param name: name of the metric.
    :param help: what it measures.
    :param labels: names of its labels.
    :param read: returns the values by label values.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    read: Callable[[], Mapping[tuple[str, ...], float]]
