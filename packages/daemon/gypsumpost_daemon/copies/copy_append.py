"""New output of one generation to append to its copy."""

import attrs

from gypsumpost_core.generations.piece import Piece


@attrs.frozen(kw_only=True)
class CopyAppend:
    """Output that a holder appends to its copy.

    :param generation_id: the generation.
    :param epoch: epoch of the owner that sends the output.
    :param start: number of output tokens before the pieces; the holder replaces its output from
        there on.
    :param pieces: consecutive pieces, possibly none.
    :param finish_reason: why the answer ended, ``None`` while it runs.
    """

    generation_id: str
    epoch: int
    start: int
    pieces: list[Piece]
    finish_reason: str | None = None
