"""One body, answer or piece of input that a host holds in memory."""

from collections.abc import Callable

import attrs

from gypsumpost_core.memory.byte_progress import ByteProgress
from gypsumpost_core.memory.held_kind import HeldKind

MIN_IDLE_SECONDS = 0.1
"""Ranks holders that make progress by size."""


@attrs.define(kw_only=True, eq=False)
class MemoryHolder(ByteProgress):
    """A share of the memory account.

    :param kind: what the memory is held for.
    :param size: bytes held.
    :param end: frees the memory and ends the request or connection; called once at most.
    :param released: true once the account has let go of it.
    """

    kind: HeldKind
    end: Callable[[], None] = attrs.field(repr=False)
    size: int = attrs.field(default=0, init=False)
    released: bool = attrs.field(default=False, init=False)

    def compute_weight(self, now: float) -> float:
        """Return the holder's claim to be let go: its size times its time without progress.

        :param now: monotonic time in seconds.
        """
        return self.size * (now - self.progressed_at + MIN_IDLE_SECONDS)
