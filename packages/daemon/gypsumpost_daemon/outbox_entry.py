"""Progress of one generation's copy at one holder."""

import attrs

from gypsumpost_daemon.copied_generation import CopiedGeneration


@attrs.define(kw_only=True, eq=False)
class OutboxEntry:
    """What a holder has of a generation.

    :param task: the generation.
    :param held: output tokens that the holder acknowledged.
    :param attempt: attempt that the holder knows, -1 before the whole record was sent.
    """

    task: CopiedGeneration
    held: int = 0
    attempt: int = -1
