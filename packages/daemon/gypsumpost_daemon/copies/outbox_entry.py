"""Progress of one generation's copy at one holder."""

import attrs

from gypsumpost_core.generations.generation import Generation
from gypsumpost_daemon.copies.copied_generation import CopiedGeneration


@attrs.define(kw_only=True, eq=False)
class OutboxEntry:
    """What a holder has of a generation.

    :param task: the generation.
    :param held: output tokens that the holder acknowledged.
    :param attempt: attempt that the holder knows, -1 before the whole record was sent.
    :param sent_generation: the generation whose state the last batch carried.
    :param sent_length: output tokens that it had then.
    """

    task: CopiedGeneration
    held: int = 0
    attempt: int = -1
    sent_generation: Generation | None = None
    sent_length: int = 0

    def note_sent(self) -> None:
        """Note the state that goes into the next batch."""
        self.sent_generation = self.task.generation
        self.sent_length = self.task.generation.record.length
