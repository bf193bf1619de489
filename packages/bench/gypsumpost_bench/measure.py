"""Runs the experiments: ``python -m gypsumpost_bench.measure [--quick] [--only NAME ...]``."""

import argparse
import multiprocessing
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from datetime import UTC, datetime
from pathlib import Path

import attrs
import orjson

from gypsumpost_bench.experiment_run import ExperimentRun
from gypsumpost_bench.experiments import EXPERIMENTS
from gypsumpost_bench.measure_report import create_report
from gypsumpost_bench.row_table import format_table

QUICK_NAMES = ("admission", "lists", "membership", "resume")
"""Experiments whose quick runs together take less than a minute."""

SIMULATED_NAMES = (
    "admission",
    "allowances",
    "lists",
    "membership",
    "placement",
    "routing",
    "suspicion",
)
"""Experiments on a simulated clock; they run in a second process in parallel with the others, which
saves minutes."""

SHORT_NAMES = ("path", "token-path")
"""Experiments that use short windows in the full run too, as a run of all experiments may take ten
minutes at most. ``python -m gypsumpost_bench.experiment_token_path`` runs ``token-path`` with the
long windows; for ``path`` call ``experiment_path.run(quick=False)``."""

BUILD = Path("build")


def main(arguments: list[str]) -> int:
    """Run experiments, print their rows and write ``build/measure.json`` and ``measure.html``.

    :param arguments: the command line without the program.
    :returns: exit status, 1 if an experiment failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="a named subset with short runs")
    parser.add_argument("--only", nargs="+", choices=EXPERIMENTS.names(), metavar="NAME")
    options = parser.parse_args(arguments)
    names = choose_names(EXPERIMENTS.names(), options.only, options.quick)
    left_out = [name for name in EXPERIMENTS.names() if name not in names]
    if left_out:
        print(f"left out: {', '.join(left_out)}", flush=True)
    runs = run_experiments(names, options.quick)
    write_results(BUILD, runs, left_out, options.quick)
    failed = [run.name for run in runs if run.error]
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
    return 1 if failed else 0


def choose_names(known: tuple[str, ...], only: list[str] | None, quick: bool) -> list[str]:
    """Return the names of the experiments to run.

    :param known: all names.
    :param only: names from the command line, ``None`` for the default selection.
    :param quick: true for the subset that takes less than a minute.
    """
    if only:
        return [name for name in known if name in only]
    return [name for name in known if not quick or name in QUICK_NAMES]


def run_experiments(names: list[str], quick: bool) -> list[ExperimentRun]:
    """Run experiments and print the table of each.

    :param names: their names.
    :param quick: true for short runs.
    """
    simulated_names = [name for name in names if name in SIMULATED_NAMES]
    context = multiprocessing.get_context("spawn")
    runs = []
    with ProcessPoolExecutor(max_workers=1, mp_context=context) as pool:
        futures = [pool.submit(run_experiment, name, quick) for name in simulated_names]
        for name in names:
            if name not in simulated_names:
                runs.append(run_experiment(name, quick))
                print(format_table(runs[-1]), flush=True)
        for future in futures:
            runs.append(future.result())
            print(format_table(runs[-1]), flush=True)
    return runs


def run_experiment(name: str, quick: bool) -> ExperimentRun:
    """Run one experiment; if it fails, the result holds the error instead of rows.

    :param name: name of the experiment.
    :param quick: true for a short run.
    """
    start = time.monotonic()
    rows, error = [], ""
    try:
        rows = EXPERIMENTS.create(name, quick=quick or name in SHORT_NAMES)
    except Exception as failure:  # No exception of an experiment may stop the others.
        error = f"{type(failure).__name__}: {failure}"
    seconds = time.monotonic() - start
    return ExperimentRun(name=name, rows=rows, seconds=seconds, error=error)


def write_results(
    directory: Path, runs: list[ExperimentRun], left_out: list[str], quick: bool
) -> None:
    """Write the JSON file and the report page.

    :param directory: directory of both files, created if missing.
    :param runs: results of the experiments.
    :param left_out: names of the experiments that were not run.
    :param quick: true for a quick run.
    """
    directory.mkdir(exist_ok=True)
    loads = ", ".join(f"{load:.1f}" for load in os.getloadavg())
    conditions = {
        "finished_at": datetime.now(UTC).isoformat(timespec="seconds"),
        "quick": quick,
        "left_out": left_out,
        "cores": os.cpu_count(),
        "load_average": loads,
    }
    document = conditions | {"experiments": [attrs.asdict(run) for run in runs]}
    encoded = orjson.dumps(document, option=orjson.OPT_INDENT_2)
    (directory / "measure.json").write_bytes(encoded)
    (directory / "measure.html").write_text(create_report(runs, conditions))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
