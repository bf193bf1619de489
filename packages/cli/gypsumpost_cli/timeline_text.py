"""Formats a timeline as text."""

import time
from collections.abc import Sequence

from gypsumpost_cli.generation_history import AttemptStep, GenerationHistory
from gypsumpost_cli.log_event import LogEvent

MIN_SHOWN_SKEW_SECONDS = 0.05
"""Difference between wall clock and hybrid clock above which an event shows it."""

HOST_WIDTH = 12


def format_time(unix_time: float) -> str:
    """Return the time of day in UTC with milliseconds.

    :param unix_time: Unix time in seconds.
    """
    milliseconds = round(unix_time * 1000)
    moment = time.gmtime(milliseconds // 1000)
    return f"{time.strftime('%H:%M:%S', moment)}.{milliseconds % 1000:03}"


def format_fields(event: LogEvent) -> str:
    """Return the fields of an event as ``name=value`` in the order of the log line.

    :param event: the event.
    """
    return " ".join(f"{name}={value}" for name, value in event.fields.items())


def format_event(event: LogEvent) -> str:
    """Return one line for an event.

    :param event: the event.
    """
    line = f"{format_time(event.time)}  {event.host_id:{HOST_WIDTH}}  {event.message}"
    if fields := format_fields(event):
        line += f"  {fields}"
    skew = event.wall_time - event.time
    if abs(skew) > MIN_SHOWN_SKEW_SECONDS:
        line += f"  (wall clock {skew:+.3f} s)"
    return line


def format_history(history: GenerationHistory) -> str:
    """Return the attempts of a generation and what its caller received.

    :param history: the history.
    """
    name = history.generation_id
    lines = [f"generation {name}" if name else "requests without a generation"]
    lines += [f"  {_format_step(step)}" for step in history.attempts]
    lines += [f"  {_format_caller_event(event)}" for event in history.caller_events]
    if not history.caller_events:
        lines.append("  the logs do not tell what the caller received")
    return "\n".join(lines)


def format_timeline(events: Sequence[LogEvent], histories: Sequence[GenerationHistory]) -> str:
    """Return events and histories as text.

    :param events: events in order.
    :param histories: histories of generations to include; none for a timeline of many requests.
    """
    parts = ["\n".join(map(format_event, events)) or "no events"]
    parts += map(format_history, histories)
    return "\n\n".join(parts)


def _format_step(step: AttemptStep) -> str:
    event, fields = step.event, step.event.fields
    place = f"attempt {fields.get('attempt')} on {fields.get('endpoint')}, read by {event.host_id}"
    start = f"epoch {fields.get('epoch')}, from offset {fields.get('offset')}"
    return f"{format_time(event.time)}  {place}, {start}; began because {step.reason}"


def _format_caller_event(event: LogEvent) -> str:
    values = {
        name: value
        for name, value in event.fields.items()
        if name not in ("request_id", "generation_id")
    }
    text = ", ".join(f"{name} {value}" for name, value in values.items())
    message = event.message.partition(": ")[2]
    return f"{format_time(event.time)}  caller at {event.host_id}: {message}; {text}"
