"""Least-squares fit of a line."""

import attrs


@attrs.frozen(kw_only=True)
class LinearFit:
    """A line through measured points.

    :param slope: change of the figure per unit.
    :param intercept: figure at zero units.
    """

    slope: float
    intercept: float


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line.

    :param points: at least two points with different first values.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return LinearFit(slope=slope, intercept=mean_y - slope * mean_x)
