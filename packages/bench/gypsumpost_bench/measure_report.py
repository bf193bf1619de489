"""The report page: one HTML file without external resources."""

import html
from collections.abc import Mapping

from gypsumpost_bench.bar_plot import draw_bars
from gypsumpost_bench.experiment_run import ExperimentRun
from gypsumpost_bench.row_table import HEADINGS, list_cells

STYLE = """
body { font: 14px sans-serif; margin: 2em auto; max-width: 75em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { border-bottom: 1px solid #ddd; padding: 3px 8px; text-align: left; vertical-align: top }
td.figure { text-align: right; white-space: nowrap }
td.missed { color: #b00020; font-weight: bold }
td.note { color: #666; font-size: 12px }
figure { display: inline-block; margin: 0 1em 1em 0 }
"""


def create_report(runs: list[ExperimentRun], conditions: Mapping[str, object]) -> str:
    """Return the page.

    :param runs: results of the experiments.
    :param conditions: names and values to list at the top, for example the load average.
    """
    facts = "".join(
        f"<li>{html.escape(name)}: {html.escape(str(value))}</li>"
        for name, value in conditions.items()
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>gypsumpost measurements</title><style>{STYLE}</style></head><body>"
        f"<h1>gypsumpost measurements</h1><ul>{facts}</ul>"
        f"{''.join(map(_render_run, runs))}</body></html>\n"
    )


def _render_run(run: ExperimentRun) -> str:
    error = f"<p><b>Failed:</b> {html.escape(run.error)}</p>" if run.error else ""
    heads = "".join(f"<th>{name}</th>" for name in (*HEADINGS, "note"))
    rows = "".join(_render_row(list_cells(row), row.note) for row in run.rows)
    units = list(dict.fromkeys(row.unit for row in run.rows))
    plots = "".join(draw_bars(unit, [r for r in run.rows if r.unit == unit]) for unit in units)
    return (
        f"<h2>{html.escape(run.name)} ({run.seconds:.1f} s)</h2>{error}{plots}"
        f"<table><tr>{heads}</tr>{rows}</table>"
    )


def _render_row(cells: tuple[str, ...], note: str) -> str:
    name, figure, unit, target, met, baseline = map(html.escape, cells)
    missed = ' class="missed"' if met == "MISSED" else ""
    return (
        f'<tr><td>{name}</td><td class="figure">{figure}</td><td>{unit}</td><td>{target}</td>'
        f'<td{missed}>{met}</td><td>{baseline}</td><td class="note">{html.escape(note)}</td></tr>'
    )
