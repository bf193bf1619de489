"""Result of applying an engine's output to a generation."""

import enum


class BatchOutcome(enum.Enum):
    """Result of applying a token batch.

    ``STALE``: the batch belongs to an earlier attempt or the answer has ended. ``LOST``: the batch
    does not start at the expected offset, or the prompt's token ids are missing.
    """

    ACCEPTED = "accepted"
    FINISHED = "finished"
    STALE = "stale"
    LOST = "lost"
