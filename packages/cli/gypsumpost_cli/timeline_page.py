"""Formats a timeline as an HTML page without external resources."""

import html
from collections.abc import Sequence

from gypsumpost_cli.generation_history import GenerationHistory
from gypsumpost_cli.log_event import LogEvent
from gypsumpost_cli.timeline_text import format_event, format_history, format_time

LANE_HEIGHT = 34
LANE_WIDTH = 1000
LABEL_WIDTH = 150
MARK_RADIUS = 5

STYLE = """
body { font: 14px sans-serif; margin: 1.5em; color: #222; background: #fff; }
svg { max-width: 100%; height: auto; border: 1px solid #ccc; }
pre { white-space: pre-wrap; }
table { border-collapse: collapse; }
td { padding: 1px 10px 1px 0; vertical-align: top; font: 12px monospace; }
"""

COLOURS = {
    "generation": "#1f6fb4",
    "copy": "#6a4fa3",
    "caller": "#2a8a4a",
    "daemon": "#555555",
    "gossip": "#b07a12",
}
OTHER_COLOUR = "#b03a2e"


def format_page(events: Sequence[LogEvent], histories: Sequence[GenerationHistory]) -> str:
    """Return an HTML page with one lane per host and a table of all events.

    :param events: events in order.
    :param histories: histories of generations to include.
    """
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8"><title>gypsumpost timeline</title>',
        f"<style>{STYLE}</style></head><body><h1>Timeline</h1>",
        _draw_lanes(events),
        *(f"<pre>{html.escape(format_history(history))}</pre>" for history in histories),
        "<table>",
        *(f"<tr><td>{html.escape(format_event(event))}</td></tr>" for event in events),
        "</table></body></html>",
    ]
    return "\n".join(parts) + "\n"


def _draw_lanes(events: Sequence[LogEvent]) -> str:
    if not events:
        return "<p>No events.</p>"
    hosts = sorted({event.host_id for event in events})
    first, last = events[0].time, events[-1].time
    height = LANE_HEIGHT * (len(hosts) + 1)
    width = LABEL_WIDTH + LANE_WIDTH + 2 * MARK_RADIUS
    lines = [f'<svg viewBox="0 0 {width} {height}" width="{width}" height="{height}">']
    lines += [_draw_lane(host, row) for row, host in enumerate(hosts)]
    for event in events:
        fraction = (event.time - first) / (last - first) if last > first else 0.0
        lines.append(_draw_mark(event, hosts.index(event.host_id), fraction))
    lines += [_draw_axis(format_time(first), format_time(last), height), "</svg>"]
    return "\n".join(lines)


def _draw_lane(host: str, row: int) -> str:
    y = LANE_HEIGHT * row + LANE_HEIGHT // 2
    line = f'<line x1="{LABEL_WIDTH}" y1="{y}" x2="{LABEL_WIDTH + LANE_WIDTH}" y2="{y}"'
    text = f'<text x="4" y="{y + 4}" font-size="12">{html.escape(host)}</text>'
    return f'{line} stroke="#ccc"/>{text}'


def _draw_mark(event: LogEvent, row: int, fraction: float) -> str:
    x = LABEL_WIDTH + LANE_WIDTH * fraction
    y = LANE_HEIGHT * row + LANE_HEIGHT // 2
    colour = COLOURS.get(event.message.partition(":")[0], OTHER_COLOUR)
    title = html.escape(format_event(event))
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="{MARK_RADIUS}" fill="{colour}" fill-opacity="0.7">'
        f"<title>{title}</title></circle>"
    )


def _draw_axis(first: str, last: str, height: int) -> str:
    y = height - LANE_HEIGHT // 3
    start = f'<text x="{LABEL_WIDTH}" y="{y}" font-size="12">{first}</text>'
    x = LABEL_WIDTH + LANE_WIDTH
    end = f'<text x="{x}" y="{y}" font-size="12" text-anchor="end">{last}</text>'
    return start + end
