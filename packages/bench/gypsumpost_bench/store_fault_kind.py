"""Kinds of fault of the stand-in store."""

import enum


class StoreFaultKind(enum.Enum):
    """Faulty behaviour of the store."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    CUT_WATCHES = "cut_watches"
    PARTITION = "partition"
