"""Experiment ``token-path``: processor time and delay of a token between engine and caller."""

import sys

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.token_path_run import DIRECT, TokenPathCase, TokenPathFigures, run_case

RATES = (1000, 3000, 6400)
BASELINE = ("hypercorn", "httpcore", "none")
COMBINATIONS = (
    BASELINE,
    ("hypercorn", "h11", "none"),
    ("h11", "httpcore", "none"),
    ("h11", "h11", "none"),
    ("h11", "h11", "adaptive"),
)
GAP_TARGET_MS = 60.0
FIRST_TOKEN_TARGET_MS = 5.0
MIN_DELIVERED_SHARE = 0.98
"""A rate counts as sustained if at least this share of the offered tokens is delivered."""


@EXPERIMENTS.register("token-path")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure all combinations of HTTP server, engine transport and coalescing at all rates.

    :param quick: true for fewer rates and short windows.
    """
    rows: list[ExperimentRow] = []
    for rate in RATES[1:2] if quick else RATES:
        reference = TokenPathCase(server=DIRECT, transport="", coalescing="", rate=rate)
        direct = run_case(reference, quick=quick)
        baseline: TokenPathFigures | None = None
        for server, transport, coalescing in COMBINATIONS:
            case = TokenPathCase(
                server=server, transport=transport, coalescing=coalescing, rate=rate
            )
            figures = run_case(case, quick=quick)
            baseline = baseline or figures
            rows += create_rows(case, figures, baseline, direct)
    return rows


def create_rows(
    case: TokenPathCase,
    figures: TokenPathFigures,
    baseline: TokenPathFigures,
    direct: TokenPathFigures,
) -> list[ExperimentRow]:
    """Return the rows of one case.

    :param case: the configuration.
    :param figures: its figures.
    :param baseline: figures of hypercorn with httpcore at the same rate.
    :param direct: figures without a relay at the same rate.
    """
    name = f"{case.server}+{case.transport}, coalescing {case.coalescing}, {case.rate} tokens/s"
    note = f"{figures.rate:.0f} tokens/s delivered, {figures.incomplete} short streams incomplete"
    sustained = figures.rate >= MIN_DELIVERED_SHARE * case.rate and not figures.incomplete
    limits: list[tuple[str, str, str, float]] = [
        ("microseconds", "relay processor time per token", "us", 1e6 / RATES[-1]),
        ("gap_p95", "p95 gap between tokens", "ms", GAP_TARGET_MS),
        ("first_p95", "p95 added to the first token", "ms", FIRST_TOKEN_TARGET_MS),
        (
            "burst_first_p95",
            "p95 added to the first token, 100 connections/s",
            "ms",
            FIRST_TOKEN_TARGET_MS,
        ),
        ("burst_gap_p95", "p95 gap between tokens, 100 connections/s", "ms", GAP_TARGET_MS),
    ]
    return [
        ExperimentRow(
            name=f"{text}: {name}",
            unit=unit,
            figure=getattr(figures, field),
            target=f"< {target:g} {unit}",
            baseline=getattr(baseline, field),
            baseline_name="+".join(BASELINE[:2]),
            note=f"{note}, without a relay {getattr(direct, field):.1f} {unit}",
            met=sustained and getattr(figures, field) < target,
        )
        for field, text, unit, target in limits
    ]


if __name__ == "__main__":
    for row in run(quick="--quick" in sys.argv):
        print(f"{row.figure:9.1f} {row.unit} (baseline {row.baseline:.1f}) {row.name}; {row.note}")
