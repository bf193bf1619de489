"""Replication progress of one generation to one holder."""

import attrs

from gypsumpost_core.generations.generation import Generation
from gypsumpost_daemon.copies.copied_generation import CopiedGeneration


@attrs.define(kw_only=True, eq=False)
class OutboxEntry:
    """State of a generation that a holder has received.

    :param task: the generation.
    :param acknowledged_length: number of output tokens that the holder acknowledged.
    :param attempt: attempt number in the last record sent to the holder, -1 if the whole record
        must be sent.
    :param sent_generation: generation object whose state the last batch contained.
    :param sent_length: number of output tokens in that batch.
    """

    task: CopiedGeneration
    acknowledged_length: int = 0
    attempt: int = -1
    sent_generation: Generation | None = None
    sent_length: int = 0

    def record_sent(self) -> None:
        """Record the state that is sent with the next batch."""
        self.sent_generation = self.task.generation
        self.sent_length = self.task.generation.record.length
