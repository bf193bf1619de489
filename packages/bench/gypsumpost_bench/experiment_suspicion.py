"""Experiment ``suspicion``: engines lost to crash-causing requests, and false quarantines."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.suspicion_simulation import SuspicionSimulation

CRASH_CAUSING_REQUESTS = 3
CRASH_INTERVAL = 10.0
"""Mean seconds between crashes that no request causes; each of the 9 engines has one in 90 s."""

BASELINE_RUNS = 2
"""Number of runs without suspicion; they are slow, as most engines are down and requests wait."""

NO_SUSPICION = "no suspicion"


@EXPERIMENTS.register("suspicion")
def measure_suspicion(*, quick: bool) -> list[ExperimentRow]:
    """Measure crash-causing requests, mixed with innocent requests and random engine crashes.

    :param quick: true for fewer runs.
    """
    seeds = range(2 if quick else 10)
    duration = 300.0
    runs = [_simulate(True, seed, duration) for seed in seeds]
    baseline_runs = [_simulate(False, seed, duration) for seed in seeds[:BASELINE_RUNS]]
    lost = max(max(run.engines_lost.values()) for run in runs)
    innocents = sum(run.innocents for run in runs)
    crashes = sum(run.ordinary_crashes for run in runs)
    false = sum(run.false_quarantines for run in runs)
    note = (
        f"{len(runs)} runs of {duration:.0f} s, {innocents} innocents, {crashes} crashes by chance"
    )
    return [
        ExperimentRow(
            name="engines lost to one crash-causing request, worst",
            unit="engines",
            figure=lost,
            target="<= 3",
            baseline=max(max(run.engines_lost.values()) for run in baseline_runs),
            baseline_name=NO_SUSPICION,
            note=note,
            met=lost <= 3,
        ),
        ExperimentRow(
            name="false quarantines",
            unit="requests",
            figure=false,
            target="0",
            baseline=sum(run.false_quarantines for run in baseline_runs),
            baseline_name=NO_SUSPICION,
            note=note,
            met=false == 0,
        ),
        ExperimentRow(
            name="innocent requests that finished whole",
            unit="share",
            figure=sum(run.completed for run in runs) / innocents,
            target="1",
            baseline=sum(r.completed for r in baseline_runs)
            / sum(r.innocents for r in baseline_runs),
            baseline_name=NO_SUSPICION,
            note=note,
            met=sum(run.completed for run in runs) == innocents,
        ),
    ]


def _simulate(suspicion_enabled: bool, seed: int, duration: float) -> SuspicionSimulation:
    run = SuspicionSimulation(
        suspicion_enabled=suspicion_enabled,
        harmful=CRASH_CAUSING_REQUESTS,
        crash_interval=CRASH_INTERVAL,
        duration=duration,
        seed=seed,
    )
    run.run()
    return run
