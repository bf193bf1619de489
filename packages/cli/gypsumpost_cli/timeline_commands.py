"""The command that merges logs."""

from collections.abc import Iterable, Iterator
from pathlib import Path

from result import Err, Ok, Result

from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.event_filter import EventFilter
from gypsumpost_cli.generation_history import trace_generations
from gypsumpost_cli.log_parser import ParsedLog, merge_events, parse_log
from gypsumpost_cli.moment import parse_moment
from gypsumpost_cli.timeline_page import format_page
from gypsumpost_cli.timeline_text import format_timeline


@COMMANDS.register("timeline")
def show_timeline(
    *files: Path,
    request: str = "",
    generation: str = "",
    endpoint: str = "",
    workspace: str = "",
    host: str = "",
    first: str | None = None,
    last: str | None = None,
    page: Path | None = None,
) -> Result[str, CommandFailure]:
    """Merge the logs of all daemons into one order that respects causes.

    :param files: log files of the daemons
    :param request: request id; shows every attempt, why it began and what the caller received
    :param generation: generation id; shows the same for one generation
    :param endpoint: name of an endpoint
    :param workspace: name of a workspace
    :param host: host that wrote the events
    :param first: earliest moment, as Unix seconds or like 2026-05-01T08:30:00 (UTC)
    :param last: latest moment
    :param page: write an HTML page to this file in place of the text
    """
    first_time, last_time = _parse_bound("--first", first), _parse_bound("--last", last)
    if isinstance(first_time, Err):
        return first_time
    if isinstance(last_time, Err):
        return last_time
    if not files:
        return Err(CommandFailure(message="no log file is given", exit_code=EXIT_REFUSED))
    event_filter = EventFilter(
        request_id=request,
        generation_id=generation,
        endpoint=endpoint,
        workspace=workspace,
        host_id=host,
        first=first_time.ok_value,
        last=last_time.ok_value,
    )
    try:
        log = parse_log(_read_lines(files))
    except OSError as error:
        return Err(CommandFailure(message=str(error), exit_code=EXIT_UNREACHABLE))
    text = _render(log, event_filter, page is not None)
    skipped = _describe_skipped(log)
    if page is None:
        return Ok(text + skipped)
    try:
        page.write_text(text)
    except OSError as error:
        return Err(CommandFailure(message=f"--page: {error}", exit_code=EXIT_UNREACHABLE))
    return Ok(f"wrote {page}{skipped}")


def _render(log: ParsedLog, event_filter: EventFilter, as_page: bool) -> str:
    events = event_filter.select(merge_events(log.events))
    include_histories = bool(event_filter.request_id or event_filter.generation_id)
    histories = trace_generations(events) if include_histories else []
    return (format_page if as_page else format_timeline)(events, histories)


def _parse_bound(flag: str, text: str | None) -> Result[float | None, CommandFailure]:
    if text is None:
        return Ok(None)
    parsed = parse_moment(text)
    if isinstance(parsed, Err):
        message = f"{flag}: {parsed.err_value}"
        return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
    return Ok(parsed.ok_value)


def _read_lines(files: Iterable[Path]) -> Iterator[bytes]:
    for path in files:
        with path.open("rb") as file:
            yield from file


def _describe_skipped(log: ParsedLog) -> str:
    if not log.malformed + log.without_clock:
        return ""
    counts = f"{log.malformed} malformed lines and {log.without_clock} lines without a clock"
    return f"\n\nskipped {counts}"
