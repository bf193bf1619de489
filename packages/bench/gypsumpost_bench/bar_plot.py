"""Bar charts of experiment rows as inline SVG."""

import html
import math

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.row_table import format_figure

LABEL_WIDTH = 430
BAR_WIDTH = 300
VALUE_WIDTH = 90
BAR_HEIGHT = 9
ROW_HEIGHT = 24
TOP = 22
MAX_ROWS = 40
"""Further rows appear only in the table."""

COLOURS = ("#2a6f97", "#c9c9c9")
"""Colours of the figure's bar and of the baseline's bar."""


def draw_bars(unit: str, rows: list[ExperimentRow]) -> str:
    """Return an HTML figure with a bar for each row and one for its baseline.

    :param unit: unit of all rows.
    :param rows: the rows; only the first ``MAX_ROWS`` are drawn.
    """
    rows = rows[:MAX_ROWS]
    highest = max(map(_find_highest, rows), default=0.0)
    width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH
    height = TOP + ROW_HEIGHT * len(rows)
    bars = "".join(_draw_row(row, TOP + ROW_HEIGHT * n, highest) for n, row in enumerate(rows))
    title = f"{html.escape(unit or 'count')} (dark: figure, light: baseline)"
    return (
        f'<figure><svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'font-family="sans-serif" font-size="11"><text x="0" y="13" font-weight="bold">{title}'
        f"</text>{bars}</svg></figure>"
    )


def _find_highest(row: ExperimentRow) -> float:
    values = (row.figure, row.baseline or 0.0)
    return max((abs(value) for value in values if math.isfinite(value)), default=0.0)


def _draw_row(row: ExperimentRow, top: int, highest: float) -> str:
    label = row.name if len(row.name) <= 72 else row.name[:71] + "…"
    text = f'<text x="0" y="{top + BAR_HEIGHT}">{html.escape(label)}</text>'
    figure = _draw_bar(row.figure, top, highest, COLOURS[0])
    if row.baseline is None:
        return text + figure
    return text + figure + _draw_bar(row.baseline, top + BAR_HEIGHT + 1, highest, COLOURS[1])


def _draw_bar(value: float, top: int, highest: float, colour: str) -> str:
    fraction = min(abs(value) / highest, 1.0) if highest and not math.isnan(value) else 0.0
    length = round(fraction * BAR_WIDTH, 1)
    end = LABEL_WIDTH + length
    return (
        f'<rect x="{LABEL_WIDTH}" y="{top}" width="{length}" height="{BAR_HEIGHT}" '
        f'fill="{colour}"/><text x="{end + 4}" y="{top + BAR_HEIGHT}" font-size="9">'
        f"{html.escape(format_figure(value))}</text>"
    )
