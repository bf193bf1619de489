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
        positions = [(self._text.find(sequence), len(sequence)) for sequence in self.stop]
        # The sequence that ends first wins, so that the result does not depend on how the text is
        # split into chunks.
        matches = [(at + length, at) for at, length in positions if at >= 0]
        if matches:
            return self._base + min(matches)[1]
        self._discard_safe_text()
        return None

    @property
    def safe_length(self) -> int:
        """Number of leading characters that cannot be part of a later match."""
        return self._base

    def _discard_safe_text(self) -> None:
        pending = max(map(self._measure_partial_match, self.stop))
        safe = len(self._text) - pending
        self._base += safe
        self._text = self._text[safe:]

    def _measure_partial_match(self, sequence: str) -> int:
        longest = min(len(sequence) - 1, len(self._text))
        for length in range(longest, 0, -1):
            if self._text.endswith(sequence[:length]):
                return length
        return 0
