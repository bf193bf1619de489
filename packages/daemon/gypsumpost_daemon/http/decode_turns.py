"""Shares the processor between bodies that are costly to decode."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

CHUNKS_WITHOUT_TURN = 64
"""Chunks that a body may decode at once for each read; ordinary bodies never need a turn."""

CHUNKS_PER_TURN = 512
"""Half a millisecond of decoding, after which other tasks run."""

CROWD = 8
"""With more bodies waiting for a turn, those with costly framing are refused."""


class DecodeTurns:
    """Lets one body decode at a time, in the order of arrival.

    Long heads have turns of their own.

    A body in chunks of single bytes takes seconds to decode. If each connection decoded what it has
    received, a crowd of them would leave no time for other requests.
    """

    def __init__(self) -> None:
        self._lock = trio.Lock()

    @property
    def crowded(self) -> bool:
        """True if many bodies wait for their turn."""
        return self._lock.statistics().tasks_waiting > CROWD

    @asynccontextmanager
    async def open_turn(self) -> AsyncIterator[None]:
        """Wait for a turn; other tasks run before the next turn begins."""
        async with self._lock:
            yield
            await trio.lowlevel.checkpoint()
