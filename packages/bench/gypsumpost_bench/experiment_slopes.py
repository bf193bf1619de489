"""Experiment ``slopes``: cost of each unit of state and load, for docs/CAPACITY.md."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.slope_control import measure_control
from gypsumpost_bench.slope_generations import measure_generations
from gypsumpost_bench.slope_prefill import measure_prefill
from gypsumpost_bench.slope_requests import measure_requests


@EXPERIMENTS.register("slopes")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure all slopes.

    :param quick: true for only the slopes that are measured inside this process.
    """
    rows = [*measure_generations(), *measure_control(), *measure_prefill()]
    return rows if quick else [*rows, *measure_requests()]
