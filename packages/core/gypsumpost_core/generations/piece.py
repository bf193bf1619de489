"""A range of an answer's tokens that ends at a character boundary."""

import attrs


@attrs.frozen(kw_only=True)
class Piece:
    """Tokens and their text; no character is split between pieces.

    :param end: number of output tokens of the generation up to the end of this piece.
    :param token_ids: ids of the piece's tokens.
    :param text: text of the tokens; empty only in the last piece of a generation.
    """

    end: int
    token_ids: tuple[int, ...]
    text: str

    @property
    def start(self) -> int:
        """Number of output tokens before this piece."""
        return self.end - len(self.token_ids)
