"""Tests of the timeline of merged logs."""

from pathlib import Path
from typing import Any

import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

from gypsumpost_cli.event_filter import EventFilter
from gypsumpost_cli.generation_history import trace_generations
from gypsumpost_cli.log_event import LogEvent
from gypsumpost_cli.log_parser import merge_events, parse_log
from gypsumpost_cli.main import run_command
from gypsumpost_cli.timeline_page import format_page
from gypsumpost_cli.timeline_text import format_timeline

START_MS = 1_700_000_000_000
ATTEMPT: dict[str, Any] = {
    "request_id": "r1",
    "generation_id": "g1",
    "workspace": "north",
    "epoch": 1,
}


def create_line(ms: int, host: str, message: str, skew: float = 0.0, **fields: Any) -> bytes:
    time = {"clock": (START_MS + ms) << 16, "timestamp": (START_MS + ms) / 1000 + skew}
    return orjson.dumps({"message": message, "host_id": host, **time, **fields})


LINES = [
    create_line(
        0, "h1", "generation: attempt started", attempt=1, endpoint="e1", offset=0, **ATTEMPT
    ),
    create_line(
        900,
        "h1",
        "generation: attempt ended",
        outcome="died",
        attempt=1,
        endpoint="e1",
        offset=7,
        **ATTEMPT,
    ),
    create_line(
        901, "h1", "generation: attempt started", attempt=2, endpoint="e2", offset=7, **ATTEMPT
    ),
    b'{"message":"generation: atte',
    # The wall clock of h2 is 60 s behind; a message from h1 has advanced its hybrid clock.
    create_line(2000, "h2", "copy: handed over", skew=-60.0, generation_id="g1", epoch=2, offset=9),
    create_line(
        2001, "h2", "generation: taken over", skew=-60.0, generation_id="g1", epoch=2, offset=9
    ),
    create_line(
        2002,
        "h2",
        "generation: stream resumed",
        skew=-60.0,
        attempt=2,
        endpoint="e2",
        offset=9,
        **ATTEMPT | {"epoch": 2},
    ),
    create_line(
        3000,
        "h2",
        "caller: answer completed",
        skew=-60.0,
        request_id="r1",
        generation_id="g1",
        finish_reason="stop",
        offset=20,
    ),
    create_line(500, "h1", "generation: attempt started", request_id="r2", generation_id="g2"),
    create_line(1500, "h3", "caller: refused", request_id="r3", code="<no_engine>"),
    b"7",
    b'{"message":"other","clock":"soon"}',
]


def read_events() -> list[LogEvent]:
    return merge_events(parse_log(LINES[::-1]).events)


def test_request_alone_shows_attempts_and_answer(snapshot: SnapshotAssertion) -> None:
    """Guards against omitting events without a request id, and sorting by a skewed wall clock."""
    events = EventFilter(request_id="r1").select(read_events())
    assert format_timeline(events, trace_generations(events)) == snapshot


@pytest.mark.parametrize(
    ("chosen", "count"),
    [
        (EventFilter(), 9),
        (EventFilter(endpoint="e2"), 2),
        (EventFilter(workspace="north"), 7),
        (EventFilter(host_id="h3"), 1),
        (EventFilter(generation_id="g2"), 1),
        (EventFilter(first=START_MS / 1000 + 0.9, last=START_MS / 1000 + 2), 4),
        (EventFilter(request_id="r1", endpoint="e1"), 2),
        (EventFilter(request_id="unknown"), 0),
    ],
)
def test_filters(chosen: EventFilter, count: int) -> None:
    """Guards against filters that omit matching events or include others."""
    assert len(chosen.select(read_events())) == count


def test_page_has_no_external_resources() -> None:
    """Guards against log values rendered as markup and against references to external resources."""
    page = format_page(read_events(), trace_generations(read_events()))
    assert "&lt;no_engine&gt;" in page
    assert "<no_engine>" not in page
    assert "http" not in page
    assert page.count("<circle") == 9


def test_command_counts_malformed_lines(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against failing on a log with a line that was cut off when its process was killed."""
    file = tmp_path / "h1.log"
    file.write_bytes(b"\n".join(LINES) + b"\n\xff\xfe\n")
    assert run_command(["timeline", str(file), "--request", "r1"]) == 0
    assert "skipped 2 malformed lines and 2 lines without a clock" in capsys.readouterr().out
    assert run_command(["timeline", str(file), "--page", str(tmp_path / "page.html")]) == 0
    assert (tmp_path / "page.html").read_text().startswith("<!DOCTYPE html>")
    assert run_command(["timeline", str(file), "--first", "soon"]) == 1
    assert run_command(["timeline", str(tmp_path / "none")]) == 2
