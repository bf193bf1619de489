"""What became of an engine's output."""

import enum


class BatchOutcome(enum.Enum):
    """Result of handing a token batch to a generation."""

    ACCEPTED = "accepted"
    FINISHED = "finished"
    STALE = "stale"
    LOST = "lost"
