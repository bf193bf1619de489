"""Text table of experiment rows for the terminal."""

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.experiment_run import ExperimentRun

MET = {True: "met", False: "MISSED", None: ""}
HEADINGS = ("name", "figure", "unit", "target", "met", "baseline")


def format_table(run: ExperimentRun) -> str:
    """Return the table of one experiment.

    :param run: the experiment.
    """
    title = f"== {run.name} ({run.seconds:.1f} s)"
    if run.error:
        title += f" FAILED: {run.error}"
    lines = [HEADINGS, *map(list_cells, run.rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(HEADINGS))]
    texts = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]
    return "\n".join([title, *(texts if run.rows else [])])


def list_cells(row: ExperimentRow) -> tuple[str, ...]:
    """Return the texts of a row in the order of :data:`HEADINGS`.

    :param row: the row.
    """
    baseline = ""
    if row.baseline is not None:
        baseline = f"{format_figure(row.baseline)} ({row.baseline_name})"
    figure = format_figure(row.figure)
    return (row.name, figure, row.unit, row.target, MET[row.met], baseline)


def format_figure(figure: float) -> str:
    """Return a figure with four significant digits at most.

    :param figure: the figure.
    """
    return f"{figure:,.0f}" if abs(figure) >= 1000 else f"{figure:.4g}"
