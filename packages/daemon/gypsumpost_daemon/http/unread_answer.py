"""Counts answers that wait for their callers to read."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.http.overload_guard import OverloadGuard


@contextmanager
def count_unread(
    guard: OverloadGuard | None, size: int, close: Callable[[], None]
) -> Iterator[MemoryHolder | None]:
    """Count data as held until the end of the context.

    :param guard: counts the data, ``None`` to leave it out.
    :param size: number of bytes.
    :param close: closes the connection at once, which ends the send.
    :raises ConnectionAbortedError: if there is no room.
    """
    if guard is None:
        yield None
        return

    def let_go() -> None:
        guard.record_end(EndReason.MEMORY)
        close()

    holder = guard.hold(HeldKind.UNREAD_ANSWER, let_go)
    try:
        if not guard.resize(holder, size):
            raise ConnectionAbortedError("there is no memory for an answer that is not read")
        yield holder
    finally:
        guard.account.close(holder)
