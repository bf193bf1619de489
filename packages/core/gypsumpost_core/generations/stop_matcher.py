"""Incremental search for stop sequences in streamed text."""

import attrs


@attrs.define(kw_only=True)
class StopMatcher:
    """Finds the first stop sequence, including one that spans several chunks.

    :param stop: stop sequences.
    """

    stop: tuple[str, ...]
    _text: str = attrs.field(default="", init=False)
    _base: int = attrs.field(default=0, init=False)

    def feed(self, text: str) -> int | None:
        """Append a chunk of text and search it.

        :param text: the next chunk.
        :returns: character position at which the first stop sequence starts, ``None`` if there is
            none.
        """
        if not self.stop:
            self._base += len(text)
            return None
        self._text += text
        places = [(self._text.find(sequence), len(sequence)) for sequence in self.stop]
        # The sequence that ends first wins, so that the result does not depend on how the text is
        # split into chunks.
        found = [(at + length, at) for at, length in places if at >= 0]
        if found:
            return self._base + min(found)[1]
        self._drop_decided_text()
        return None

    @property
    def safe_length(self) -> int:
        """Number of leading characters that cannot be part of a later match."""
        return self._base

    def _drop_decided_text(self) -> None:
        held = max(map(self._measure_held_end, self.stop))
        decided = len(self._text) - held
        self._base += decided
        self._text = self._text[decided:]

    def _measure_held_end(self, sequence: str) -> int:
        longest = min(len(sequence) - 1, len(self._text))
        for length in range(longest, 0, -1):
            if self._text.endswith(sequence[:length]):
                return length
        return 0
