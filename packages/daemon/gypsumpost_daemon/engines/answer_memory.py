"""Bounds the memory of all unfinished answers of endpoints together."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.overload_guard import OverloadGuard

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
    _holder: MemoryHolder | None = attrs.field(default=None, init=False)

    def resize(self, size: int) -> None:
        """Set how many bytes the answer holds now.

        :param size: the bytes.
        :raises AnswerTooLongError: if all answers hold too much, and this one most of all.
        """
        self.memory.total += size - self.size
        self.size = size
        has_room = self._count(size) and self.memory.total <= MAX_TOTAL_BYTES
        if size > FREE_BYTES and not has_room and self.memory.is_longest(self):
            raise AnswerTooLongError(f"all answers hold {self.memory.total} bytes, this one {size}")

    def close(self) -> None:
        """Stop counting the answer."""
        self.memory.total -= self.size
        if self.memory.guard is not None and self._holder is not None:
            self.memory.guard.account.close(self._holder)

    def _count(self, size: int) -> bool:
        """Count the answer among all that the host holds; return false if there is no room."""
        guard = self.memory.guard
        if guard is None or size == 0 and self._holder is None:
            return True
        if self._holder is None:
            self._holder = guard.hold(HeldKind.ENDPOINT_ANSWER, ignore_release)
        return guard.resize(self._holder, size)


@attrs.define(kw_only=True, eq=False)
class AnswerMemory:
    """Adds up what unfinished answers hold.

    An endpoint may send bytes without end. Each answer has a bound of its own, but many of them at
    the same moment would still fill the memory of a host.

    :param guard: counts the answers among all that the host holds, ``None`` to leave them out.
    :param total: bytes that all answers hold.
    """

    guard: OverloadGuard | None = None
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
            share.close()
            del self._shares[id(share)]

    def is_longest(self, share: AnswerShare) -> bool:
        """Return true if no answer holds more than this one.

        :param share: the answer.
        """
        return all(other.size <= share.size for other in self._shares.values())


def ignore_release() -> None:
    """Do nothing: answers of endpoints are not let go for the sake of others."""
