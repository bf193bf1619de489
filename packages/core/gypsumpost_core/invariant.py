"""Invariants that the program checks at run time."""

import enum

from gypsumpost_core.broken_invariant import BrokenInvariant


class Invariant(enum.Enum):
    """The invariants of docs/design.md section 1.1, internal ones last."""

    WHOLE_ANSWER = "whole-answer"
    ONE_GENERATION = "one-generation"
    OWN_ANSWER = "own-answer"
    TRUTHFUL_NOT_RUN = "truthful-not-run"
    AT_MOST_ONCE = "at-most-once"
    NO_NEW_WORK_WHEN_LEAVING = "no-new-work-when-leaving"
    GRACEFUL_STOP = "graceful-stop"
    NO_REVERT = "no-revert"
    ORDER_WITHIN_LEASE = "order-within-lease"
    LAST_COPY = "last-copy"


def require(invariant: Invariant, condition: bool, state: object) -> None:
    """Stop the process if an invariant does not hold.

    :param invariant: the invariant that the condition expresses.
    :param condition: true if the invariant holds.
    :param state: the values that the condition was computed from.
    :raises BrokenInvariant: if the condition is false.
    """
    if not condition:
        raise BrokenInvariant(invariant.value, repr(state))
