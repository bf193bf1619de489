"""Experiment ``allowances``: shares of allowances under shifting demand, on a simulated clock."""

import bisect
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.line_fit import fit_line
from gypsumpost_bench.share_fleet import MODEL, SERVICE, TOKENS_PER_GENERATION, ShareFleet
from gypsumpost_bench.share_reassignment import (
    DAEMONS,
    REQUESTS,
    UNLIMITED,
    WARM_UP_SECONDS,
    measure_reassignment,
)

TOKENS = 2000.0
SHIFT_INTERVAL_SECONDS = 7.0
WINDOW_SECONDS = 10.0
ERROR_TARGET = 0.05
REASSIGNMENT_TARGET_SECONDS = 2.0
CONTROL_SECONDS = 10.0

T = TypeVar("T")


def run_simulated(function: Callable[..., Awaitable[T]], *arguments: object) -> T:
    """Run an async function on a simulated clock, which skips the time spent waiting.

    :param function: the function.
    :param arguments: its positional arguments.
    """
    return trio.run(function, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def draw_weights(number: int, seed: int) -> list[float]:
    """Return each daemon's fraction of the demand in one period; the fractions are very unequal.

    :param number: number of the period.
    :param seed: seed of the experiment.
    """
    rng = random.Random(f"{seed}/{number}")
    weights = [rng.random() ** 4 for _ in range(DAEMONS)]
    return [weight / sum(weights) for weight in weights]


def compute_errors(
    offered: list[float], used: list[float], *, limit: float, scale: float, start: float, end: float
) -> tuple[float, float]:
    """Return the largest relative shortfall and excess of the used units over all windows.

    The reference is the offered load or the limit, whichever is lower.

    :param offered: times of offered requests.
    :param used: times of used units.
    :param limit: allowed units per second.
    :param scale: units that each offered request uses.
    :param start: start of the first window.
    :param end: time at which the last window ends at the latest.
    """
    below = above = 0.0
    position = start
    while position + WINDOW_SECONDS <= end:
        window = (position, position + WINDOW_SECONDS)
        expected = min(limit * WINDOW_SECONDS, _count(offered, *window) * scale)
        error = _count(used, *window) / expected - 1
        below, above = max(below, -error), max(above, error)
        position += 0.5
    return below, above


def _count(times: list[float], first: float, last: float) -> int:
    return bisect.bisect_left(times, last) - bisect.bisect_left(times, first)


async def measure_error(mode: str, resource: str, load: float, seconds: float) -> tuple[float, ...]:
    """Return the shortfall and the excess with unequal demand that shifts between the daemons.

    :param mode: name of the share mode.
    :param resource: ``SERVICE`` to limit requests, ``MODEL`` to limit tokens.
    :param load: offered load as a multiple of the allowance.
    :param seconds: duration of the measurement.
    """
    requests, tokens = (REQUESTS, UNLIMITED) if resource == SERVICE else (UNLIMITED, TOKENS)
    fleet = ShareFleet(
        daemons=DAEMONS, workspaces=1, requests=requests, tokens=tokens, mode=mode, seed=3
    )
    scale = 1.0 if resource == SERVICE else TOKENS_PER_GENERATION
    limit = REQUESTS if resource == SERVICE else TOKENS
    total = load * limit / scale
    end = WARM_UP_SECONDS + seconds

    def get_rate(index: int) -> Callable[[float], float]:
        return lambda now: total * draw_weights(int(now / SHIFT_INTERVAL_SECONDS), seed=4)[index]

    async with trio.open_nursery() as nursery:
        for index, task in enumerate(fleet.tasks):
            nursery.start_soon(task.run)
            nursery.start_soon(fleet.offer, index, "w0", resource, get_rate(index))
        await trio.sleep(end)
        nursery.cancel_scope.cancel()
    used = fleet.admitted if resource == SERVICE else fleet.tokens
    return compute_errors(
        fleet.offered, used, limit=limit, scale=scale, start=WARM_UP_SECONDS, end=end
    )


async def measure_control(daemons: int, workspaces: int, load: float) -> float:
    """Return the control traffic per daemon in bytes/s when every daemon serves every workspace.

    :param daemons: number of daemons.
    :param workspaces: number of active workspaces.
    :param load: offered load as a multiple of the allowance.
    """
    rate = 2.0
    allowed = rate * daemons / load
    fleet = ShareFleet(
        daemons=daemons,
        workspaces=workspaces,
        requests=allowed,
        tokens=UNLIMITED,
        mode="coordinated",
        seed=5,
    )
    async with trio.open_nursery() as nursery:
        for index, task in enumerate(fleet.tasks):
            nursery.start_soon(task.run)
            for name in fleet.workspaces:
                nursery.start_soon(fleet.offer, index, name, SERVICE, lambda now: rate)
        await trio.sleep(WARM_UP_SECONDS)
        before = sum(fleet.network.sent_bytes.values())
        await trio.sleep(CONTROL_SECONDS)
        sent = sum(fleet.network.sent_bytes.values()) - before
        nursery.cancel_scope.cancel()
    return sent / CONTROL_SECONDS / daemons


@EXPERIMENTS.register("allowances")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure errors, the time until an unused share is reassigned, and control traffic.

    :param quick: true for shorter runs and fewer points.
    """
    rows: list[ExperimentRow] = []
    for resource, load in [(SERVICE, 1.5), (SERVICE, 0.7), (MODEL, 1.5)]:
        rows += _create_error_rows(resource, load, 20 if quick else 120)
    shifts = 2 if quick else 12
    rows += [_create_reassignment_row(crash, shifts) for crash in (False, True)]
    for load in (0.2, 1.5):
        rows += _create_control_rows(load, quick)
    return rows


def _create_error_rows(resource: str, load: float, seconds: float) -> list[ExperimentRow]:
    figures = run_simulated(measure_error, "coordinated", resource, load, seconds)
    baselines = run_simulated(measure_error, "equal", resource, load, seconds)
    unit = "requests" if resource == SERVICE else "tokens"
    limit = REQUESTS if resource == SERVICE else TOKENS
    note = (
        f"{DAEMONS} daemons, allowance {limit:.0f} {unit}/s, demand shifts every "
        f"{SHIFT_INTERVAL_SECONDS:.0f} s, {seconds:.0f} s of simulated time, windows every 0.5 s"
    )
    return [
        ExperimentRow(
            name=f"allowances: largest error {side} over 10 s, {unit}, {load}x load",
            unit="fraction",
            figure=figure,
            target="< 0.05",
            baseline=baseline,
            baseline_name="equal shares",
            note=note,
            met=figure < ERROR_TARGET,
        )
        for side, figure, baseline in zip(("below", "above"), figures, baselines, strict=True)
    ]


def _create_reassignment_row(crash: bool, shifts: int) -> ExperimentRow:
    figure = run_simulated(measure_reassignment, "coordinated", crash, shifts)
    cause = "its holder died" if crash else "its holder lost its demand"
    return ExperimentRow(
        name=f"allowances: longest time until a share is found after {cause}",
        unit="s",
        figure=figure,
        target="< 2 s",
        note=f"whole demand moves between two of {DAEMONS} daemons, {shifts} moves, "
        "until the new daemon has 90% of the allowance; equal shares never get there",
        met=figure < REASSIGNMENT_TARGET_SECONDS,
    )


def _create_control_rows(load: float, quick: bool) -> list[ExperimentRow]:
    counts = (3, 9) if quick else (3, 9, 18, 36)
    by_daemons = [(n, run_simulated(measure_control, n, 10, load)) for n in counts]
    sizes = (5, 10) if quick else (5, 10, 20, 40)
    by_workspaces = [(n, run_simulated(measure_control, DAEMONS, n, load)) for n in sizes]
    return [
        _create_slope_row("daemon of the fleet", "10 workspaces", by_daemons, load),
        _create_slope_row("active workspace", f"{DAEMONS} daemons", by_workspaces, load),
    ]


def _create_slope_row(
    unit: str, fixed: str, points: list[tuple[int, float]], load: float
) -> ExperimentRow:
    fit = fit_line(((float(x), y) for x, y in points), min_points=2)
    listed = ", ".join(f"{x}: {y:.0f}" for x, y in points)
    return ExperimentRow(
        name=f"allowances: control bytes of a daemon for each {unit}, {load}x load",
        unit="B/s",
        figure=fit.slope,
        note=f"{fixed}, every daemon serves every workspace at 2 requests/s; "
        f"points in B/s: {listed}; {fit.intercept:.0f} B/s at zero",
    )
