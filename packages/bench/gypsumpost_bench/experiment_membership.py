"""Experiment ``membership``: failure detection time, false deaths and cost."""

import statistics
from collections.abc import Callable

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.membership_figures import MembershipFigures
from gypsumpost_bench.membership_memory import measure_member_bytes
from gypsumpost_bench.membership_run import MembershipRun

MEMBERS = (9, 50, 130, 300)
QUICK_MEMBERS = (9, 24)
LOSSES = 5
QUICK_LOSSES = 2
MEMORY_MEMBERS = 1400
SEED = 20
DETECTION_TARGET_SECONDS = 3.0
BYTES_TARGET = 3000.0
PROCESSOR_TARGET_MICROSECONDS = 15000.0
"""1.5% of a core."""

BASELINE = "heartbeats from every member to every other each second"


@EXPERIMENTS.register("membership")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure membership with several numbers of members.

    :param quick: true for fewer members and fewer stopped members.
    """
    sizes = QUICK_MEMBERS if quick else MEMBERS
    losses = QUICK_LOSSES if quick else LOSSES
    runs = [MembershipRun(members=size, losses=losses, seed=SEED).measure() for size in sizes]
    rows = [row for figures in runs for row in _create_rows(figures)]
    return rows + [_create_slope(runs), _create_memory()]


def _create_rows(figures: MembershipFigures) -> list[ExperimentRow]:
    return [
        *_create_detection(figures, "no loss", figures.detection, figures.missed),
        *_create_detection(figures, "20% loss", figures.lossy_detection, figures.lossy_missed),
        *_create_false_reports(figures),
        *_create_cost(figures),
    ]


def _create_detection(
    figures: MembershipFigures, condition: str, seconds: tuple[float, ...], missed: int
) -> list[ExperimentRow]:
    name = f"time to detect a dead member, {figures.members} members, {condition}"
    p99 = statistics.quantiles(seconds, n=100, method="inclusive")[98]
    note = f"{len(seconds)} observations, {missed} missed, 3 domains, simulated clock"
    met = p99 <= DETECTION_TARGET_SECONDS and not missed
    return [
        ExperimentRow(name=f"{name}, p50", unit="s", figure=statistics.median(seconds), note=note),
        ExperimentRow(name=f"{name}, p99", unit="s", figure=p99, target="<= 3", note=note, met=met),
    ]


def _create_false_reports(figures: MembershipFigures) -> list[ExperimentRow]:
    note = "60 s of simulated time"
    return [
        ExperimentRow(
            name=f"false suspicions, {figures.members} members, 20% loss",
            unit="suspicions",
            figure=figures.false_suspicions,
            note=note,
        ),
        ExperimentRow(
            name=f"false deaths, {figures.members} members, 20% loss",
            unit="reports",
            figure=figures.false_deaths,
            target="0",
            note=note,
            met=figures.false_deaths == 0,
        ),
    ]


def _create_cost(figures: MembershipFigures) -> list[ExperimentRow]:
    return [
        ExperimentRow(
            name=f"bytes sent by a member, {figures.members} members",
            unit="bytes/s",
            figure=figures.bytes_per_second,
            target="<= 3000",
            baseline=figures.heartbeat_bytes_per_second,
            baseline_name=BASELINE,
            note=f"highest of all {figures.highest_bytes_per_second:.0f}, 20 s after all started",
            met=figures.highest_bytes_per_second <= BYTES_TARGET,
        ),
        ExperimentRow(
            name=f"processor time of a member, {figures.members} members",
            unit="us/s",
            figure=figures.processor_microseconds,
            target="<= 15000",
            note="state machine, codec and simulation; without system calls",
            met=figures.processor_microseconds <= PROCESSOR_TARGET_MICROSECONDS,
        ),
    ]


def _create_slope(runs: list[MembershipFigures]) -> ExperimentRow:
    sizes = [figures.members for figures in runs]

    def fit(choose: Callable[[MembershipFigures], float]) -> float:
        return statistics.linear_regression(sizes, [choose(figures) for figures in runs]).slope

    points = ", ".join(f"({f.members}, {f.bytes_per_second:.0f})" for f in runs)
    return ExperimentRow(
        name="bytes sent by a member, per further member",
        unit="bytes/s per member",
        figure=fit(lambda figures: figures.bytes_per_second),
        baseline=fit(lambda figures: figures.heartbeat_bytes_per_second),
        baseline_name=BASELINE,
        note=f"least squares over (members, bytes/s): {points}",
    )


def _create_memory() -> ExperimentRow:
    return ExperimentRow(
        name="memory per known member",
        unit="bytes",
        figure=measure_member_bytes(MEMORY_MEMBERS),
        note=f"{MEMORY_MEMBERS} members in 10 domains, with decoded texts and queued updates",
    )
