"""Settings of the placement of models and of the orders."""

import attrs


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Settings of the placement of models and of the orders.

    :param missing_after: seconds for which a reference must have no copy before it is loaded, so
        that a few missing reports of an engine do not cause a load.
    :param spread_after: seconds for which the copies of a reference must be overloaded before
        another is added.
    :param spread_demand: demand per copy above which another copy is added.
    :param spread_ratio: a copy of another reference is replaced only if this factor times the
        demand on each of its remaining copies is below the demand on an overloaded copy.
    :param load_interval: seconds between two loads from the weight store.
    :param load_burst: loads that may be ordered at once after a period without loads.
    :param repeat_after: seconds after which an order is sent again if the engine does not report
        its effect.
    :param confirmation_time: seconds for which an accepted load order counts as evidence that the
        engine has the reference loaded; longer than the interval between reports, shorter than
        the restart of an engine.
    :param unload_after: seconds after the lease is acquired in which nothing is unloaded, so that
        orders of the former holder that are still in transit arrive first.
    """

    missing_after: float = 3.0
    spread_after: float = 60.0
    spread_demand: float = 100.0
    spread_ratio: float = 2.0
    load_interval: float = 10.0
    load_burst: int = 2
    repeat_after: float = 5.0
    confirmation_time: float = 4.0
    unload_after: float = 5.0
