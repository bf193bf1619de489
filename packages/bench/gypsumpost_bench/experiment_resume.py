"""Experiment ``resume``: stalls and repeated tokens after the loss of an engine or a daemon."""

import math

import attrs
import trio

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.resume_figures import ResumeFigures, join_figures
from gypsumpost_bench.resume_run import ENGINES, READ_TIMEOUT_SECONDS, ResumeRun
from gypsumpost_bench.resume_scenario import ResumeFault, ResumeScenario

KILL_ROUNDS = 2
"""Rounds of each scenario with SIGKILL; a scenario with SIGSTOP runs once."""

QUICK_TOKENS = 75
QUICK_FAULT_AFTER = 1.5
STALL_P99_TARGET_SECONDS = 1.0
STALL_MAX_TARGET_SECONDS = 3.0
MAX_REDONE_SHARE = 0.02
RESTART = "restart from the first token, whole answers"
NO_COPIES = "copy placement none"
RESTART_FLAGS = ("--resumption", "restart")
NO_COPY_FLAGS = ("--copy-placement", "none")
RESUME_WEIGHTS = ("0.8", "0", "1")


@EXPERIMENTS.register("resume")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure all scenarios with real processes.

    :param quick: true for SIGKILL of an engine, with its baseline, and of a daemon only, with short
        answers.
    """
    if quick:
        scenario = ResumeScenario(fault=ResumeFault.KILL_DAEMON)
        rows = measure_engine(ResumeFault.KILL_ENGINE, RESUME_WEIGHTS[:1], True)
        return rows + create_rows(scenario, measure(scenario, True))
    rows = measure_engine(ResumeFault.KILL_ENGINE, RESUME_WEIGHTS, False)
    rows += measure_engine(ResumeFault.PAUSE_ENGINE, RESUME_WEIGHTS, False)
    return rows + measure_daemon()


def measure_engine(
    fault: ResumeFault, weights: tuple[str, ...], quick: bool
) -> list[ExperimentRow]:
    """Measure the loss of an engine with several resume weights, and with restarts as baseline.

    :param fault: how the engine fails.
    :param weights: values of ``--resume-weight``.
    :param quick: true for one short round.
    """
    baseline = ResumeScenario(fault=fault, condition=RESTART, flags=RESTART_FLAGS, streaming=False)
    restarted = measure(baseline, quick)
    rows = [create_error_row(baseline, restarted)]
    for weight in weights:
        scenario = ResumeScenario(
            fault=fault,
            condition=f"resume weight {weight}",
            flags=("--resume-weight", weight),
        )
        figures = measure(scenario, quick)
        rows += [*create_rows(scenario, figures), create_redone_row(scenario, figures, restarted)]
    return rows


def measure_daemon() -> list[ExperimentRow]:
    """Measure the loss of a daemon with and without copies, and a paused daemon with copies."""
    scenario = ResumeScenario(fault=ResumeFault.KILL_DAEMON)
    baseline = attrs.evolve(scenario, condition=NO_COPIES, flags=NO_COPY_FLAGS)
    paused = ResumeScenario(fault=ResumeFault.PAUSE_DAEMON)
    figures, baseline_figures = measure(scenario, False), measure(baseline, False)
    rows = create_rows(scenario, figures) + create_rows(paused, measure(paused, False))
    return [
        *rows,
        ExperimentRow(
            name=f"answers lost: {scenario.name}",
            unit="answers",
            figure=len(figures.errors),
            target="0",
            baseline=len(baseline_figures.errors),
            baseline_name=NO_COPIES,
            note=f"of {figures.answers}, {len(figures.stalls)} of them at the lost daemon",
            met=not figures.errors,
        ),
    ]


def measure(scenario: ResumeScenario, quick: bool) -> ResumeFigures:
    """Run all rounds of a scenario and return their joint figures.

    :param scenario: the scenario.
    :param quick: true for one short round.
    """
    if quick:
        short = attrs.evolve(scenario, tokens=QUICK_TOKENS, fault_after=QUICK_FAULT_AFTER)
        return trio.run(ResumeRun(scenario=short).measure)
    rounds = 1 if scenario.fault.pauses else KILL_ROUNDS
    return join_figures([trio.run(ResumeRun(scenario=scenario).measure) for _ in range(rounds)])


def create_rows(scenario: ResumeScenario, figures: ResumeFigures) -> list[ExperimentRow]:
    """Return the rows of the stalls and of the answers' correctness.

    :param scenario: the scenario.
    :param figures: its figures.
    """
    note = (
        f"longest gap of each of {len(figures.stalls)} affected answers; {scenario.answers} "
        f"concurrent answers of {figures.tokens} tokens, {ENGINES} engines at 42 ms, 3 daemons"
    )
    if scenario.fault is ResumeFault.PAUSE_DAEMON:
        note += f"; callers reconnect after {READ_TIMEOUT_SECONDS:g} s of silence"
    limits = {0.5: math.inf, 0.99: STALL_P99_TARGET_SECONDS, 1.0: STALL_MAX_TARGET_SECONDS}
    if scenario.fault.pauses:
        limits[0.99] = math.inf
    rows = []
    for fraction, limit in limits.items():
        stall = figures.compute_stall_quantile(fraction)
        has_target = math.isfinite(limit)
        rows.append(
            ExperimentRow(
                name=f"stall {'max' if fraction == 1 else f'p{fraction * 100:g}'}: {scenario.name}",
                unit="s",
                figure=stall,
                target=f"< {limit:g} s" if has_target else "",
                note=note,
                met=stall < limit if has_target else None,
            )
        )
    return [*rows, create_error_row(scenario, figures)]


def create_error_row(scenario: ResumeScenario, figures: ResumeFigures) -> ExperimentRow:
    """Return the row that counts incomplete or wrong answers.

    :param scenario: the scenario.
    :param figures: its figures.
    """
    return ExperimentRow(
        name=f"answers not whole and correct: {scenario.name}",
        unit="answers",
        figure=len(figures.errors),
        target="0",
        note=f"of {figures.answers}; {'; '.join(sorted(set(figures.errors))[:3])}".rstrip("; "),
        met=not figures.errors,
    )


def create_redone_row(
    scenario: ResumeScenario, figures: ResumeFigures, restarted: ResumeFigures
) -> ExperimentRow:
    """Return the row that counts tokens produced more than once.

    :param scenario: the scenario.
    :param figures: its figures.
    :param restarted: figures of the baseline, which restarts generations.
    """
    return ExperimentRow(
        name=f"tokens produced more than once: {scenario.name}",
        unit="tokens",
        figure=figures.redone,
        target="< 2% of a restart",
        baseline=restarted.redone,
        baseline_name=RESTART,
        note=f"counted at the engines, dead ones included: {figures.produced} produced, "
        f"{figures.delivered} delivered; restart {restarted.produced} and {restarted.delivered}",
        met=figures.redone < MAX_REDONE_SHARE * restarted.redone,
    )
