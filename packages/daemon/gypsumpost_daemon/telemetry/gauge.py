"""A gauge that is read at each scrape."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class Gauge:
    """A metric whose current value is read at each scrape.

    :param name: name of the metric.
    :param help: what it measures.
    :param read: returns the value.
    """

    name: str
    help: str
    read: Callable[[], float]
