"""Checks of the history of a soak run."""

import re
from collections import Counter
from collections.abc import Callable, Iterator

from gypsumpost_bench.answer_event import AnswerEvent
from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_bench.fault_kind import FaultKind
from gypsumpost_bench.history import History
from gypsumpost_bench.refusal_event import RefusalEvent
from gypsumpost_cli.answer_check import find_answer_error
from gypsumpost_cli.connection import ConnectionEnd

MAX_STALL = 3.0
"""Longest stall in seconds that design section 1.7 allows."""

PACED_BY_CALLER = (CallerKind.SLOW, CallerKind.DISAPPEAR)
"""Callers that cause gaps by their own pace, so that their gaps are not stalls of the system."""

LAST_MESSAGE = "daemon: stopped"
"""Message of the last log line of a daemon that was not killed."""

FAILURE_OUTPUT = re.compile(r"Traceback|Error\b|broken invariant")


def check_answers(history: History) -> Iterator[str]:
    """Check that each completed answer is one unbroken token chain that belongs to its prompt."""
    for event in history.answers:
        answer = event.answer
        if event.kind is CallerKind.DISAPPEAR:
            answer.finish_reason = answer.finish_reason or "dropped"
        error = None if answer.error else find_answer_error(answer, event.max_tokens)
        if error is not None:
            yield f"answer {answer.request_id} ({event.kind.value}): {error}"
        if answer.token_ids and answer.prompt_token_ids != event.prompt_token_ids:
            yield f"answer {answer.request_id} ({event.kind.value}) belongs to another prompt"


def check_stalls(history: History) -> Iterator[str]:
    """Check that no answer stalls unless all engines are faulty."""
    for event in history.answers:
        arrivals = event.answer.arrivals
        if event.kind in PACED_BY_CALLER or event.answer.error:
            continue
        for before, after in zip(arrivals, arrivals[1:], strict=False):
            if after - before > MAX_STALL and not _are_all_engines_faulty(history, before, after):
                faults = _list_faults(history, before, after)
                yield (
                    f"answer {event.answer.request_id} ({event.kind.value}) stalled "
                    f"{after - before:.2f} s at {before:.1f} during {faults}"
                )


def _are_all_engines_faulty(history: History, start: float, end: float) -> bool:
    names = {
        fault.target
        for fault in history.faults
        if fault.kind.component == "engine" and fault.started_at < end and fault.ended_at > start
    }
    return len(names) >= history.engines


def _list_faults(history: History, start: float, end: float) -> str:
    names = [
        f"{fault.kind.value} of {fault.target}"
        for fault in history.faults
        if fault.started_at < end and fault.ended_at > start - 1
    ]
    return ", ".join(names) or "no fault"


def check_charges(history: History) -> Iterator[str]:
    """Check that no charge is made twice and that callers get the correct run state."""
    counts = Counter(history.executions)
    for charge in history.charges:
        count = counts[charge.call_id]
        if count > 1:
            yield f"charge {charge.call_id} was made {count} times: {charge}"
        if charge.has_false_not_run(count):
            yield f"charge {charge.call_id} was made but reported not_run: {charge}"
        if not count and any(reply.run_state == "run" for reply in charge.replies):
            yield f"charge {charge.call_id} was reported run but never made: {charge}"


def check_revisions(history: History) -> Iterator[str]:
    """Check that no daemon goes back to an older revision of the lists."""
    highest: dict[tuple[str, int], int] = {}
    for event in history.revisions:
        key = (event.host_id, event.incarnation)
        if event.revision < highest.get(key, 0):
            yield f"{event.host_id} went from revision {highest[key]} to {event.revision}"
        highest[key] = max(event.revision, highest.get(key, 0))


def check_edits(history: History) -> Iterator[str]:
    """Check that no two edits were accepted as the same revision."""
    accepted = [edit for edit in history.edits if edit.outcome == "accepted"]
    for revision, count in Counter(edit.revision for edit in accepted).items():
        if count > 1:
            yield f"{count} edits were accepted as revision {revision}"


def check_processes(history: History) -> Iterator[str]:
    """Check that no daemon failed on its own and none printed an exception."""
    for end in history.ends:
        if "host" not in end.name:
            continue
        if end.status != 0 and not end.killed:
            yield f"{end.name} ended with status {end.status}: {end.output[-2000:]}"
        elif FAILURE_OUTPUT.search(end.output):
            yield f"{end.name} printed an error: {end.output[-2000:]}"
        elif not end.killed and end.last_message != LAST_MESSAGE:
            yield f"{end.name} ended after the line {end.last_message!r}"


def check_planned_stops(history: History, addresses: dict[str, str]) -> Iterator[str]:
    """Check that a planned stop breaks no connection that was opened before it.

    :param history: events of the run.
    :param addresses: caller address of each daemon.
    """
    for stop in history.faults:
        if stop.kind not in (FaultKind.DAEMON_STOP, FaultKind.DAEMON_SIGNALS):
            continue
        for event in history.answers:
            for connection in event.answer.connections:
                if (
                    connection.address == addresses[stop.target]
                    and connection.opened_at < stop.started_at < connection.ended_at
                    and connection.end is ConnectionEnd.LOST
                ):
                    yield (
                        f"the stop of {stop.target} at {stop.started_at:.1f} cut off answer "
                        f"{event.answer.request_id} ({event.kind.value}) "
                        f"at {connection.ended_at:.1f}"
                    )


def check_failures(history: History) -> Iterator[str]:
    """Check that each answer ends with a finish reason or an explicit error."""
    for event in history.answers:
        if event.kind is not CallerKind.DISAPPEAR and not _has_explicit_end(event):
            yield f"answer {event.answer.request_id} ({event.kind.value}) ended without an error"


def _has_explicit_end(event: AnswerEvent) -> bool:
    return bool(event.answer.error or event.answer.finish_reason)


def check_refusals(history: History, addresses: dict[str, str]) -> Iterator[str]:
    """Check that malformed requests and foreign resume ids get a client error (4xx).

    A daemon that was restarted cannot check keys before it has the lists, and says so.

    :param history: events of the run.
    :param addresses: caller address of each daemon.
    """
    for refusal in history.refusals:
        if not refusal.status or 400 <= refusal.status < 500:
            continue
        if not _has_no_lists_yet(history, refusal, addresses):
            yield f"{refusal.name} was answered with {refusal.status} {refusal.code}"


def _has_no_lists_yet(history: History, refusal: RefusalEvent, addresses: dict[str, str]) -> bool:
    restarted = any(
        addresses.get(end.name) == refusal.address and end.at < refusal.at for end in history.ends
    )
    answer = (refusal.status, refusal.code, refusal.run_state)
    return restarted and answer == (503, "lists_unknown", "not_run")


Check = Callable[[History], Iterator[str]]

CHECKS: dict[str, Check] = {
    "whole and own answers": check_answers,
    "explicit failures": check_failures,
    "no stall": check_stalls,
    "charges at most once, told truly": check_charges,
    "revisions never go back": check_revisions,
    "edits accepted once": check_edits,
    "daemons end as asked": check_processes,
}


def check_history(history: History, addresses: dict[str, str]) -> dict[str, list[str]]:
    """Return the findings of each check by its name; a check without findings has passed.

    :param history: events of the run.
    :param addresses: caller address of each daemon.
    """
    verdicts = {name: list(check(history)) for name, check in CHECKS.items()}
    verdicts["bad requests are refused"] = list(check_refusals(history, addresses))
    verdicts["planned stops cut off nothing"] = list(check_planned_stops(history, addresses))
    return verdicts
