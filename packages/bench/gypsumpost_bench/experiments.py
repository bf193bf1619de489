"""Imports all experiments, which registers them."""

from gypsumpost_bench import (  # noqa: F401
    experiment_admission,
    experiment_allowances,
    experiment_calls,
    experiment_lists,
    experiment_membership,
    experiment_path,
    experiment_placement,
    experiment_resume,
    experiment_routing,
    experiment_slopes,
    experiment_suspicion,
    experiment_token_path,
)
from gypsumpost_bench.experiment import EXPERIMENTS

__all__ = ["EXPERIMENTS"]
