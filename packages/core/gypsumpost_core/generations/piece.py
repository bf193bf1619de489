"""A part of an answer that ends at a character boundary."""

import attrs


@attrs.frozen(kw_only=True)
class Piece:
    """Tokens with their whole text.

    :param end: number of output tokens of the generation up to the end of this piece.
    :param token_ids: the tokens of the piece.
    :param text: their text, never empty unless the generation ends here.
    """

    end: int
    token_ids: tuple[int, ...]
    text: str

    @property
    def start(self) -> int:
        """Number of output tokens before this piece."""
        return self.end - len(self.token_ids)
