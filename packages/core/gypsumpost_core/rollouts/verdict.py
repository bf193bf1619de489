"""Verdict on a version."""

import enum


class Verdict(enum.Enum):
    """What the evidence says about a version.

    ``DOUBTFUL`` is evidence against a version that is too weak to roll it back.
    """

    UNKNOWN = "unknown"
    DOUBTFUL = "doubtful"
    GOOD = "good"
    BAD = "bad"
