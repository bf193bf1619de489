"""Experiment ``placement``: orders to engines under faults of the store, daemons and engines."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.placement_run import STEADY_SECONDS, PlacementRun

BASELINE_NAME = "every daemon orders, no lease"
STORE_CALLS_TARGET = 2.0
"""Store calls per second and domain; 11 domains then make 22 calls/s, and the store allows 500
writes/s."""


@EXPERIMENTS.register("placement")
def measure_placement(*, quick: bool) -> list[ExperimentRow]:
    """Measure orders and time until the desired state is reached, on a simulated clock.

    :param quick: true for fewer runs.
    """
    seeds = range(5 if quick else 20)
    runs = [_run(True, seed) for seed in seeds]
    baseline_runs = [_run(False, seed) for seed in seeds]
    note = (
        f"{len(runs)} runs with 30 faults, 6 engines of 2 models (3 check tokens), 3 daemons, "
        f"{sum(run.simulation.outdated_executions for run in runs)} orders of former holders "
        "executed, "
        f"{sum(run.simulation.unloads_after_restart for run in runs)} unloads just after a "
        "restart elsewhere"
    )
    return [
        _create_row(
            "orders per run under faults", "orders", _mean_orders(runs), _mean_orders(baseline_runs)
        ),
        _create_row(
            "orders from the last fault to the desired state, worst",
            "orders",
            max(run.settling_orders for run in runs),
            max(run.settling_orders for run in baseline_runs),
        ),
        _create_row(
            "time from the last fault to the desired state, worst",
            "s",
            max(run.settling_seconds for run in runs),
            max(run.settling_seconds for run in baseline_runs),
            note="the store fails for 20 s; overloaded copies wait for 60 s; 600 s if not reached",
        ),
        _create_row(
            "time from the last fault until every reference in use has a copy, worst",
            "s",
            max(run.uncovered_seconds for run in runs),
            max(run.uncovered_seconds for run in baseline_runs),
        ),
        _create_row(
            "orders in 300 s after the desired state, worst",
            "orders",
            max(run.steady_orders for run in runs),
            max(run.steady_orders for run in baseline_runs),
            limit=0.0,
        ),
        _create_row(
            "unloads of a last copy in use",
            "unloads",
            sum(run.simulation.last_copy_unloads for run in runs),
            sum(run.simulation.last_copy_unloads for run in baseline_runs),
            limit=0.0,
            note=note,
        ),
        _create_row(
            "store calls per domain",
            "calls/s",
            max(run.steady_store_calls for run in runs) / STEADY_SECONDS,
            0.0,
            limit=STORE_CALLS_TARGET,
        ),
    ]


def _run(leased: bool, seed: int) -> PlacementRun:
    run = PlacementRun(leased=leased, seed=seed, faults=30)
    run.run()
    return run


def _mean_orders(runs: list[PlacementRun]) -> float:
    return sum(run.fault_orders for run in runs) / len(runs)


def _create_row(
    name: str,
    unit: str,
    figure: float,
    baseline: float,
    limit: float | None = None,
    note: str = "",
) -> ExperimentRow:
    return ExperimentRow(
        name=name,
        unit=unit,
        figure=figure,
        target="" if limit is None else f"<= {limit:g}",
        baseline=baseline,
        baseline_name=BASELINE_NAME,
        note=note,
        met=None if limit is None else figure <= limit,
    )
