"""Experiment ``slopes``: what each unit of state and work costs, for docs/CAPACITY.md."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.slope_control import measure_control
from gypsumpost_bench.slope_generations import measure_generations
from gypsumpost_bench.slope_requests import measure_requests


@EXPERIMENTS.register("slopes")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure all slopes.

    :param quick: true for those without processes of their own.
    """
    rows = [*measure_generations(), *measure_control()]
    return rows if quick else [*rows, *measure_requests()]
