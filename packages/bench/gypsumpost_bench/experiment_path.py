"""Experiment ``path``: cost and latency of a token in a daemon process, with and without copies."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.line_fit import MIN_POINTS, create_slope_row
from gypsumpost_bench.path_run import PathCase, PathFigures, run_path
from gypsumpost_bench.token_path_run import DIRECT, TokenPathCase, TokenPathFigures, run_case

RATES = (1000, 2000, 3000, 4500, 6400)
HOLDERS = (1, 4, 8, 16)
HOLDERS_RATE = 1000
COPIES = "other-domain"
NO_COPIES = "none"
MIN_DELIVERED_SHARE = 0.98
"""A rate counts as sustained if at least this share of the offered tokens is delivered."""

GAP_TARGET_MS = 60.0
FIRST_TOKEN_TARGET_MS = 5.0
MICROSECONDS_TARGET = 1e6 / RATES[-1]


@EXPERIMENTS.register("path")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure a home daemon and the holder of its copies at several rates.

    :param quick: true for short windows.
    """
    rows: list[ExperimentRow] = []
    loads: list[tuple[float, float, float]] = []
    reference = TokenPathCase(server=DIRECT, transport="", coalescing="", rate=RATES[-1])
    direct = run_case(reference, quick=quick)
    for rate in RATES:
        with_copies = run_path(PathCase(placement=COPIES, rate=rate), quick=quick)
        without_copies = run_path(PathCase(placement=NO_COPIES, rate=rate), quick=quick)
        rows += create_rows(rate, with_copies, without_copies, direct)
        if is_sustained(rate, with_copies.path) or len(loads) < MIN_POINTS:
            loads.append((with_copies.path.rate, with_copies.home_load, with_copies.holder_load))
    return [
        *rows,
        create_slope_row(
            "home processor time per further token",
            "us",
            [(rate, home * 1e6) for rate, home, _ in loads],
            "tokens/s against us/s, with copies",
        ),
        create_slope_row(
            "holder processor time per further token",
            "us",
            [(rate, holder * 1e6) for rate, _, holder in loads],
            "tokens/s against us/s; the copies of one home",
        ),
        measure_holders(quick),
    ]


def measure_holders(quick: bool) -> ExperimentRow:
    """Measure the home with its copies distributed over several holders, at the same rate.

    :param quick: true for short windows.
    """
    points = []
    for holders in HOLDERS:
        case = PathCase(placement=COPIES, rate=HOLDERS_RATE, holders=holders)
        points.append((holders, run_path(case, quick=quick).home_load * 1e6))
    return create_slope_row(
        "home processor time per further holder of its copies",
        "us/s",
        points,
        f"{HOLDERS_RATE} tokens/s; holders against us/s",
    )


def is_sustained(rate: int, path: TokenPathFigures) -> bool:
    """Return whether a daemon kept up with the offered tokens.

    :param rate: offered tokens per second.
    :param path: figures of the load clients.
    """
    return path.rate >= MIN_DELIVERED_SHARE * rate and not path.incomplete


def create_rows(
    rate: int, with_copies: PathFigures, without_copies: PathFigures, direct: TokenPathFigures
) -> list[ExperimentRow]:
    """Return the rows of one rate.

    :param rate: offered tokens per second.
    :param with_copies: figures with copies to a second daemon.
    :param without_copies: figures without copies.
    :param direct: figures of load clients that connect directly to the engines.
    """
    path, base = with_copies.path, without_copies.path
    sustained = is_sustained(rate, path)
    note = (
        f"{path.rate:.0f} tokens/s delivered, home used {with_copies.home_load:.2f} and holder "
        f"{with_copies.holder_load:.2f} of a core, {path.incomplete} short streams incomplete; "
        f"without a daemon at {RATES[-1]} tokens/s p95 gap {direct.gap_p95:.1f} ms, first token "
        f"{direct.first_p95:.1f} ms"
    )
    # Each row: name, unit, figure, baseline, limit (``None`` without a target).
    figures: list[tuple[str, str, float, float, float | None]] = [
        ("tokens/s through one daemon", "tokens/s", path.rate, base.rate, None),
        (
            "home processor time per token",
            "us",
            path.microseconds,
            base.microseconds,
            MICROSECONDS_TARGET if rate == RATES[-1] else None,
        ),
        (
            "holder processor time per token",
            "us",
            with_copies.holder_microseconds,
            without_copies.holder_microseconds,
            None,
        ),
        ("p95 gap between tokens", "ms", path.gap_p95, base.gap_p95, GAP_TARGET_MS),
        (
            "p95 added to the first token",
            "ms",
            path.first_p95,
            base.first_p95,
            FIRST_TOKEN_TARGET_MS,
        ),
    ]
    return [
        ExperimentRow(
            name=f"{name}, {rate} tokens/s offered",
            unit=unit,
            figure=figure,
            target="" if limit is None else f"< {limit:g} {unit}",
            baseline=baseline,
            baseline_name="copy placement none",
            note=note,
            met=None if limit is None else sustained and figure < limit,
        )
        for name, unit, figure, baseline, limit in figures
    ]
