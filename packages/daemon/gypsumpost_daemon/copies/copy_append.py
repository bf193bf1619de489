"""New output of one generation on its way to a holder."""

import attrs

from gypsumpost_core.generations.piece import Piece


@attrs.frozen(kw_only=True)
class CopyAppend:
    """What a holder appends to its copy.

    :param generation_id: the generation.
    :param epoch: number of the owner that sends it.
    :param start: output tokens before the pieces; the holder drops what it has beyond.
    :param pieces: consecutive pieces, possibly none.
    :param finish_reason: why the answer ended, ``None`` while it runs.
    """

    generation_id: str
    epoch: int
    start: int
    pieces: list[Piece]
    finish_reason: str | None = None
