"""Kinds of fault that a stand-in can be ordered to show."""

import enum


class StoreFaultKind(enum.Enum):
    """What the store does wrong."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    CUT_WATCHES = "cut_watches"
    PARTITION = "partition"
