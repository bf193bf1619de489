"""Bounds what a host holds in memory for callers and endpoints together."""

from collections.abc import Callable

import attrs

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_decision import ALLOWED, MemoryDecision
from gypsumpost_core.memory.memory_holder import MemoryHolder

SMALL_BYTES = 64 << 10
"""Most of what ordinary callers send; larger holders are let go first."""

SMALL_FRACTION = 0.125
"""Fraction of the bound that only small holders may use."""

SPARE_FRACTION = 0.0625
"""Freed beyond need, so that a crowd does not cause a search for each read."""

STALL_SECONDS = 1.0
"""A small holder is let go only after this time without progress."""


@attrs.define(kw_only=True)
class MemoryAccount:
    """Counts the bytes of all holders and decides who is let go when they exceed the bound.

    Answers the load of many callers that send bodies without finishing them, or read no answers:
    each is within its own limit, and all of them exceed the memory. Large holders without progress
    go first, small ones last. Complete bodies and answers of endpoints belong to requests under way
    and are never let go for others.

    :param bound: most bytes that all holders may have.
    """

    bound: int
    total: int = attrs.field(default=0, init=False)
    _by_kind: dict[HeldKind, int] = attrs.field(init=False)
    _holders: dict[int, MemoryHolder] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._by_kind = dict.fromkeys(HeldKind, 0)

    def open(self, kind: HeldKind, now: float, end: Callable[[], None]) -> MemoryHolder:
        """Return a new holder without bytes.

        :param kind: what the memory is for.
        :param now: monotonic time in seconds.
        :param end: see :class:`MemoryHolder`.
        """
        holder = MemoryHolder(kind=kind, progressed_at=now, end=end)
        self._holders[id(holder)] = holder
        return holder

    def resize(self, holder: MemoryHolder, size: int, now: float) -> MemoryDecision:
        """Set the size of a holder and decide whether there is room for it.

        A holder that is refused keeps its new size until it is closed; one that is released is no
        longer counted.

        :param holder: the holder.
        :param size: its bytes from now on.
        :param now: monotonic time in seconds.
        """
        if holder.released:
            return MemoryDecision(allowed=False)
        growth = size - holder.size
        holder.record_progress(abs(growth), now)
        self._count(holder, growth)
        if growth <= 0 or self.total <= self._compute_bound(size):
            return ALLOWED
        released = self._release(self._compute_bound(size), now)
        fits = self.total <= self._compute_bound(size)
        if not fits and not holder.released and holder.kind.releasable:
            self._forget(holder)
            released.append(holder)
        return MemoryDecision(allowed=fits and not holder.released, released=tuple(released))

    def change_kind(self, holder: MemoryHolder, kind: HeldKind) -> None:
        """Count a holder as another kind.

        :param holder: the holder.
        :param kind: what its memory is for from now on.
        """
        if holder.released:
            return
        self._by_kind[holder.kind] -= holder.size
        self._by_kind[kind] += holder.size
        holder.kind = kind

    def close(self, holder: MemoryHolder) -> None:
        """Stop counting a holder; does nothing if it was released or closed before.

        :param holder: the holder.
        """
        if self._holders.pop(id(holder), None) is not None:
            self._count(holder, -holder.size)

    def list_sizes(self) -> dict[HeldKind, int]:
        """Return the bytes held of each kind."""
        return dict(self._by_kind)

    @property
    def under_pressure(self) -> bool:
        """True if more than half of the bound is used."""
        return self.total * 2 > self.bound

    def _compute_bound(self, size: int) -> int:
        return self.bound if size <= SMALL_BYTES else int(self.bound * (1 - SMALL_FRACTION))

    def _release(self, bound: int, now: float) -> list[MemoryHolder]:
        """Let go of holders until there is some room below the bound."""
        released = []
        goal = bound - int(self.bound * SPARE_FRACTION)
        for holder in self._rank(now):
            if self.total <= goal:
                break
            self._forget(holder)
            released.append(holder)
        return released

    def _rank(self, now: float) -> list[MemoryHolder]:
        """Return the holders that may be let go, the first one first."""
        candidates = [holder for holder in self._holders.values() if holder.kind.releasable]
        large = [holder for holder in candidates if holder.size > SMALL_BYTES]
        small = [
            holder
            for holder in candidates
            if 0 < holder.size <= SMALL_BYTES and now - holder.progressed_at >= STALL_SECONDS
        ]
        for group in (large, small):
            group.sort(key=lambda holder: holder.compute_weight(now), reverse=True)
        return large + small

    def _forget(self, holder: MemoryHolder) -> None:
        size = holder.size
        holder.released = True
        self.close(holder)
        holder.size = size  # What was let go, for the log.

    def _count(self, holder: MemoryHolder, growth: int) -> None:
        holder.size += growth
        self.total += growth
        self._by_kind[holder.kind] += growth
