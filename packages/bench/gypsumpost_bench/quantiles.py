"""Quantiles of measured values."""

import math


def find_nearest_rank(values: list[float], fraction: float) -> float:
    """Return a quantile by the nearest rank, ``nan`` without values.

    :param values: the values.
    :param fraction: fraction of the values at or below the quantile, for example 0.99.
    """
    if not values:
        return math.nan
    return sorted(values)[max(0, math.ceil(len(values) * fraction) - 1)]


def find_quantile(values: list[float], fraction: float, *, empty: float = 0.0) -> float:
    """Return the sorted value at ``int(fraction * count)``, the last at most.

    :param values: the values.
    :param fraction: fraction of the values below the quantile.
    :param empty: what is returned without values.
    """
    if not values:
        return empty
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]
