"""Measurements at several sizes and the least-squares line through them."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable

import attrs

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.row_table import format_figure

MIN_POINTS = 4


@attrs.frozen(kw_only=True)
class LineFit:
    """A least-squares line.

    :param points: measured pairs of size and figure.
    :param slope: change of the figure per unit of size.
    :param intercept: figure at size 0.
    """

    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float

    def describe(self) -> str:
        """Return the points, the intercept and the range of sizes as text."""
        texts = ", ".join(f"({format_figure(x)}, {format_figure(y)})" for x, y in self.points)
        sizes = [x for x, _ in self.points]
        return (
            f"least squares over {texts}; {format_figure(self.intercept)} at 0; valid from "
            f"{format_figure(min(sizes))} to {format_figure(max(sizes))}"
        )


def fit_line(points: Iterable[tuple[float, float]], *, min_points: int = MIN_POINTS) -> LineFit:
    """Return the least-squares line through points.

    :param points: pairs of size and figure.
    :param min_points: how many there must be.
    :raises ValueError: if there are fewer points.
    """
    kept = tuple(points)
    if len(kept) < min_points:
        raise ValueError(f"{len(kept)} points are too few for a slope")
    line = statistics.linear_regression([x for x, _ in kept], [y for _, y in kept])
    return LineFit(points=kept, slope=line.slope, intercept=line.intercept)


def create_slope_row(
    name: str, unit: str, points: Iterable[tuple[float, float]], note: str = ""
) -> ExperimentRow:
    """Return a row with the slope of measured points.

    :param name: name of the row: the cost of one unit of size.
    :param unit: unit of the slope.
    :param points: pairs of size and figure.
    :param note: further conditions.
    """
    fit = fit_line(points)
    text = f"{note}; {fit.describe()}" if note else fit.describe()
    return ExperimentRow(name=name, unit=unit, figure=fit.slope, note=text)


def measure_bytes(build: Callable[[], object]) -> float:
    """Return the memory in bytes of the Python objects that a function builds.

    :param build: function that returns the objects.
    """
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return after - before


def measure_microseconds(function: Callable[[], object], repeats: int) -> float:
    """Return the lowest processor time of a function in microseconds.

    :param function: the function.
    :param repeats: number of runs; other processes disturb the fastest run the least.
    """
    times = []
    for _ in range(repeats):
        start = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - start) / 1000)
    return min(times)
