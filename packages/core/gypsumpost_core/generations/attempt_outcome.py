"""How an attempt on an engine ended."""

import enum


class AttemptOutcome(enum.Enum):
    """The end of an attempt, as routing and crash suspicion see it."""

    FINISHED = "finished"
    REFUSED = "refused"
    DIED = "died"
    SILENT = "silent"
    CANCELLED = "cancelled"
