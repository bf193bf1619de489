"""A mutex per key."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio


@attrs.define(kw_only=True)
class KeyedLock:
    """A set of mutexes, one per key; unused keys occupy no memory."""

    _locks: dict[str, trio.Lock] = attrs.field(factory=dict, init=False)
    _users: Counter[str] = attrs.field(factory=Counter, init=False)

    @asynccontextmanager
    async def hold(self, key: str) -> AsyncIterator[None]:
        """Hold the lock of a key; waits while another task holds it.

        :param key: the key.
        """
        lock = self._locks.setdefault(key, trio.Lock())
        self._users[key] += 1
        try:
            async with lock:
                yield
        finally:
            self._users[key] -= 1
            if not self._users[key]:
                del self._users[key], self._locks[key]
