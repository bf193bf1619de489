"""Settings of the placement of models and of the orders."""

import attrs


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Settings of the placement of models and of the orders.

    :param missing_after: seconds for which a reference must lack a copy before it gets one; an
        engine that misses a few reports must not cause a load.
    :param spread_after: seconds for which a copy must be overloaded before another is added.
    :param spread_demand: demand of one copy above which another is added.
    :param spread_ratio: a copy is taken from another reference only if this many times the
        demand that its remaining copies then have is below the demand of the overloaded copy.
    :param load_interval: seconds between two loads from the weight store.
    :param load_burst: loads that may be ordered at once after a quiet time.
    :param repeat_after: seconds after which an order is repeated whose effect is not reported.
    :param confirmed_for: seconds for which an accepted load order shows that an engine keeps a
        reference; longer than a round of reports, shorter than an engine takes to restart.
    :param unload_after: seconds after the lease is taken in which nothing is unloaded, so that
        orders of the former holder that are still on their way arrive first.
    """

    missing_after: float = 3.0
    spread_after: float = 60.0
    spread_demand: float = 100.0
    spread_ratio: float = 2.0
    load_interval: float = 10.0
    load_burst: int = 2
    repeat_after: float = 5.0
    confirmed_for: float = 4.0
    unload_after: float = 5.0
