"""From which copy a stream goes on after an attempt has failed."""

import enum

import attrs


class NextCopy(enum.Enum):
    """Where the memory of a stream is sought."""

    NONE = "none"
    SAME = "same"
    NEWEST = "newest"


@attrs.frozen(kw_only=True)
class FailedAttempt:
    """What is known of an attempt of a stream on an engine.

    :param may_have_run: false only if the engine certainly has not run it.
    :param engine_lost: true if the engine is taken for lost.
    :param from_copy: true if it went on from the engine's copy.
    :param repeated: true if that copy was asked for before.
    :param went_on: true if the attempt brought an event.
    :param started: true if the caller has any event of the stream.
    """

    may_have_run: bool
    engine_lost: bool
    from_copy: bool
    repeated: bool
    went_on: bool
    started: bool


def choose_next_copy(attempt: FailedAttempt) -> NextCopy:
    """Return which copy to use next.

    :param attempt: the attempt that has failed.
    """
    if not attempt.may_have_run:
        # A holder without the copy refuses; other engines were only asked to read the prompt.
        return NextCopy.NONE if attempt.from_copy else NextCopy.SAME
    if attempt.from_copy and not attempt.went_on and not attempt.engine_lost:
        # The holder is alive and has probably not begun: it may still have the copy.
        return NextCopy.NONE if attempt.repeated else NextCopy.SAME
    if not attempt.from_copy and not attempt.started:
        # An engine sends nothing to the copy's holder before the prompt is read.
        return NextCopy.NONE
    return NextCopy.NEWEST
