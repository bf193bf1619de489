"""Estimates of the memory that generation records use."""

import sys
from collections.abc import Iterable

from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece

RECORD_BYTES = 2048
"""Bytes of a record without body, prompt and answer."""

TOKEN_BYTES = 36
"""Bytes of a token id: an integer object (28) and its slot in a tuple (8)."""

PIECE_BYTES = 128
"""Bytes of a piece (56), its empty tuple (56) and its slot in a growing list (up to 16)."""


def measure_pieces(pieces: Iterable[Piece]) -> int:
    """Return the estimated memory of pieces in bytes.

    :param pieces: the pieces.
    """
    return sum(
        PIECE_BYTES + TOKEN_BYTES * len(piece.token_ids) + sys.getsizeof(piece.text)
        for piece in pieces
    )


def measure_record(record: GenerationRecord) -> int:
    """Return the estimated memory of a record in bytes.

    :param record: the record.
    """
    prompt = TOKEN_BYTES * len(record.prompt_token_ids)
    return RECORD_BYTES + len(record.body) + prompt + measure_pieces(record.pieces)
