"""Search for stop sequences in text that arrives in parts."""

import attrs


@attrs.define(kw_only=True)
class StopMatcher:
    """Finds the first stop sequence, also one that spans parts.

    :param stop: stop sequences.
    """

    stop: tuple[str, ...]
    _text: str = attrs.field(default="", init=False)
    _base: int = attrs.field(default=0, init=False)

    def feed(self, text: str) -> int | None:
        """Add text.

        :param text: the next part.
        :returns: character position at which the first stop sequence begins, ``None`` for none.
        """
        if not self.stop:
            self._base += len(text)
            return None
        self._text += text
        places = [(self._text.find(sequence), len(sequence)) for sequence in self.stop]
        # The sequence that is complete first counts, so that the result doesn't depend on how
        # the text is split.
        found = [(at + length, at) for at, length in places if at >= 0]
        if found:
            return self._base + min(found)[1]
        self._drop_decided_text()
        return None

    @property
    def safe_length(self) -> int:
        """Characters from the start that no later match can include."""
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
