"""Registry of experiments."""

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_core.registry import Registry

EXPERIMENTS: Registry[list[ExperimentRow]] = Registry(behaviour="experiment")
"""Each entry is a function ``run(*, quick: bool) -> list[ExperimentRow]``."""
