"""The attempts of a generation, why each started, and what its caller received."""

from collections.abc import Sequence

import attrs

from gypsumpost_cli.log_event import LogEvent

ATTEMPT_STARTED = "generation: attempt started"
ATTEMPT_ENDED = "generation: attempt ended"
STREAM_RESUMED = "generation: stream resumed"
STREAM_NOT_RESUMED = "generation: stream not resumed"
TAKEN_OVER = "generation: taken over"
CALLER_PREFIX = "caller: "


@attrs.frozen(kw_only=True)
class AttemptStep:
    """One attempt as read by one daemon; a takeover that resumes its stream adds another step.

    :param event: the event that logs its start or resumption.
    :param reason: why it started or was resumed.
    """

    event: LogEvent
    reason: str


@attrs.frozen(kw_only=True)
class GenerationHistory:
    """The logged history of one generation.

    :param generation_id: id of the generation, empty for requests that started none.
    :param attempts: attempts and resumptions in log order.
    :param caller_events: events about what the caller received.
    """

    generation_id: str
    attempts: tuple[AttemptStep, ...]
    caller_events: tuple[LogEvent, ...]


def trace_generations(events: Sequence[LogEvent]) -> list[GenerationHistory]:
    """Return the history of each generation, in the order of their first events.

    :param events: events in order.
    """
    groups: dict[str, list[LogEvent]] = {}
    for event in events:
        if event.generation_id or event.request_id:
            groups.setdefault(event.generation_id, []).append(event)
    return [_trace_generation(generation_id, group) for generation_id, group in groups.items()]


def _trace_generation(generation_id: str, events: list[LogEvent]) -> GenerationHistory:
    attempts, reason = [], "the request was new"
    for event in events:
        if event.message in (ATTEMPT_STARTED, STREAM_RESUMED):
            attempts.append(AttemptStep(event=event, reason=reason))
            reason = "(no reason logged)"
        else:
            reason = _find_reason(event) or reason
    caller_events = tuple(event for event in events if event.message.startswith(CALLER_PREFIX))
    return GenerationHistory(
        generation_id=generation_id, attempts=tuple(attempts), caller_events=caller_events
    )


def _find_reason(event: LogEvent) -> str | None:
    fields = event.fields
    if event.message == ATTEMPT_ENDED:
        place = f"attempt {fields.get('attempt')} on {fields.get('endpoint')}"
        return f"{place} ended at offset {fields.get('offset')}: {fields.get('outcome')}"
    if event.message == TAKEN_OVER:
        return f"{event.host_id} took the generation over at offset {fields.get('offset')}"
    if event.message == STREAM_NOT_RESUMED:
        place = f"the stream of attempt {fields.get('attempt')} on {fields.get('endpoint')}"
        return f"{place} could not be resumed: {fields.get('reason')}"
    return None
