"""A value that is read when it is asked for."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class Gauge:
    """A value of the present.

    :param name: name of the metric.
    :param help: what it is.
    :param read: returns the value.
    """

    name: str
    help: str
    read: Callable[[], float]
