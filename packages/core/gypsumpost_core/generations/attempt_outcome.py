"""How an attempt on an engine ended."""

import enum


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt, as reported to routing and to crash suspicion."""

    FINISHED = "finished"
    REFUSED = "refused"
    DIED = "died"
    SILENT = "silent"
    CANCELLED = "cancelled"
