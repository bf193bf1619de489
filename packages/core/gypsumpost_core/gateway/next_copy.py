"""Decides from which copy a stream is resumed after a failed attempt."""

import enum

import attrs


class NextCopy(enum.Enum):
    """Copy from which the next attempt resumes: none, the one just used, or the newest."""

    NONE = "none"
    SAME = "same"
    NEWEST = "newest"


@attrs.frozen(kw_only=True)
class FailedAttempt:
    """Outcome of a failed attempt to run or resume a stream on an engine.

    :param may_have_run: false only if the engine certainly did not run it.
    :param engine_lost: true if the engine is marked lost.
    :param from_copy: true if the attempt resumed from a copy that the engine holds.
    :param copy_retried: true if an earlier attempt used the same copy.
    :param made_progress: true if the attempt produced an event.
    :param started: true if the caller has received any event of the stream.
    """

    may_have_run: bool
    engine_lost: bool
    from_copy: bool
    copy_retried: bool
    made_progress: bool
    started: bool


def choose_next_copy(attempt: FailedAttempt) -> NextCopy:
    """Return the copy to use for the next attempt.

    :param attempt: the attempt that failed.
    """
    if not attempt.may_have_run:
        # A holder without the copy refuses. Other engines were only asked to prefill the prompt, so
        # their refusal says nothing about the copy.
        return NextCopy.NONE if attempt.from_copy else NextCopy.SAME
    if attempt.from_copy and not attempt.made_progress and not attempt.engine_lost:
        # The holder is alive and has probably not started: it may still have the copy.
        return NextCopy.NONE if attempt.copy_retried else NextCopy.SAME
    if not attempt.from_copy and not attempt.started:
        # An engine sends nothing to the copy's holder before the prompt is prefilled.
        return NextCopy.NONE
    return NextCopy.NEWEST
