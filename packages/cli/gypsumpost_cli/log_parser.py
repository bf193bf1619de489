"""Parses structured logs and counts the lines that are not events."""

from collections.abc import Iterable

import attrs
import orjson

from gypsumpost_cli.log_event import COMMON_FIELDS, LogEvent


@attrs.frozen(kw_only=True)
class ParsedLog:
    """The events of logs and the number of skipped lines.

    :param events: the events, in the order of the lines.
    :param malformed: number of lines that are not JSON, such as one cut off by a killed process.
    :param without_clock: number of JSON lines without a valid clock, which other programs wrote.
    """

    events: tuple[LogEvent, ...]
    malformed: int
    without_clock: int


def parse_log(lines: Iterable[bytes]) -> ParsedLog:
    """Parse the lines of one or more logs.

    :param lines: the lines, with or without line breaks; empty ones are skipped.
    """
    events, malformed, without_clock = [], 0, 0
    for line in lines:
        if not line.strip():
            continue
        try:
            values = orjson.loads(line)
        except orjson.JSONDecodeError:
            malformed += 1
            continue
        event = _create_event(values)
        if event is None:
            without_clock += 1
        else:
            events.append(event)
    return ParsedLog(events=tuple(events), malformed=malformed, without_clock=without_clock)


def _create_event(values: object) -> LogEvent | None:
    if not isinstance(values, dict):
        return None
    clock, wall_time = values.get("clock"), values.get("timestamp", 0.0)
    # A number that is not a 64-bit clock would break the sorting and the formatting of times.
    if not isinstance(clock, int) or not 0 <= clock < 1 << 63:
        return None
    if not isinstance(wall_time, int | float):
        return None
    return LogEvent(
        clock=clock,
        host_id=str(values.get("host_id", "")),
        message=str(values.get("message", "")),
        wall_time=wall_time,
        fields={name: value for name, value in values.items() if name not in COMMON_FIELDS},
    )


def merge_events(events: Iterable[LogEvent]) -> list[LogEvent]:
    """Sort events by hybrid clock, which keeps causal order even if wall clocks differ.

    :param events: events of any number of processes, those of each process in log order.
    """
    return sorted(events, key=lambda event: (event.clock, event.host_id))
