"""Experiment ``routing``: all routing policies on simulated engines of different speeds."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.quantiles import find_quantile
from gypsumpost_bench.routing_simulation import RoutingSimulation
from gypsumpost_core.routing.routing_policy import ROUTING

BASELINE = "round-robin"
QUANTILES = (0.5, 0.95, 0.99)

LOSS_LOAD = 0.55
"""Offered load with a lost domain, as a share of the full capacity: 83% of what remains."""


@EXPERIMENTS.register("routing")
def measure_routing(*, quick: bool) -> list[ExperimentRow]:
    """Measure the times to the first token and to completion with each policy.

    :param quick: true for a shorter simulation.
    """
    duration = 80.0 if quick else 200.0
    rows = []
    for load in (0.5, 0.8, 0.95):
        rows += _measure(f"{load:.0%} of capacity", load, duration, None)
    return rows + _measure("one third of engines lost", LOSS_LOAD, duration, duration / 2)


def _measure(
    condition: str, load: float, duration: float, lost_at: float | None
) -> list[ExperimentRow]:
    runs = {}
    for policy in ROUTING.names():
        run = RoutingSimulation(policy=policy, load=load, duration=duration, lost_at=lost_at)
        run.run()
        runs[policy] = run
    baseline_run = runs[BASELINE]
    rows = []
    for policy, run in runs.items():
        note = f"{len(run.completion_times)} of {run.offered} completed; simulated clock"
        for quantile in QUANTILES:
            for name, values, others in (
                ("first token", run.first_token_times, baseline_run.first_token_times),
                ("completion", run.completion_times, baseline_run.completion_times),
            ):
                rows.append(
                    ExperimentRow(
                        name=f"{name} p{quantile * 100:.0f}, {policy}, {condition}",
                        unit="s",
                        figure=find_quantile(values, quantile),
                        baseline=find_quantile(others, quantile),
                        baseline_name=BASELINE,
                        note=note,
                    )
                )
    return rows
