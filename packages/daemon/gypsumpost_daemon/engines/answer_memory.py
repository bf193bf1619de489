"""Bounds the memory of all unfinished answers of endpoints together."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

MAX_TOTAL_BYTES = 32 << 20
"""A tenth of the smallest host's memory, as a part of it is held twice for a moment."""

FREE_BYTES = 64 << 10
"""An answer up to this length is never given up, so that others have room beside an endless one."""


class AnswerTooLongError(ConnectionAbortedError):
    """An answer is longer than its bound, or the longest when all together are too long."""


@attrs.define(kw_only=True, eq=False)
class AnswerShare:
    """What one unfinished answer holds.

    :param memory: the memory of all answers.
    :param size: bytes that the answer holds.
    """

    memory: "AnswerMemory"
    size: int = attrs.field(default=0, init=False)

    def resize(self, size: int) -> None:
        """Set how many bytes the answer holds now.

        :param size: the bytes.
        :raises AnswerTooLongError: if all answers hold too much, and this one most of all.
        """
        self.memory.total += size - self.size
        self.size = size
        if (
            size > FREE_BYTES
            and self.memory.total > MAX_TOTAL_BYTES
            and self.memory.is_longest(self)
        ):
            raise AnswerTooLongError(f"all answers hold {self.memory.total} bytes, this one {size}")


@attrs.define(kw_only=True, eq=False)
class AnswerMemory:
    """Adds up what unfinished answers hold.

    An endpoint may send bytes without end. Each answer has a bound of its own, but many of them at
    the same moment would still fill the memory of a host.

    :param total: bytes that all answers hold.
    """

    total: int = attrs.field(default=0, init=False)
    _shares: dict[int, AnswerShare] = attrs.field(factory=dict, init=False)

    @contextmanager
    def open_share(self) -> Iterator[AnswerShare]:
        """Count an answer until the end of the context."""
        share = AnswerShare(memory=self)
        self._shares[id(share)] = share
        try:
            yield share
        finally:
            self.total -= share.size
            del self._shares[id(share)]

    def is_longest(self, share: AnswerShare) -> bool:
        """Return true if no answer holds more than this one.

        :param share: the answer.
        """
        return all(other.size <= share.size for other in self._shares.values())
