"""Follows the store and fills the directory."""

import math
import random

import trio
from result import Err

from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.item_store import ItemStore, ItemStoreFailure
from gypsumpost_daemon.log import Log

READ_SECONDS = 2.0
FIRST_RETRY_SECONDS = 0.1
LAST_RETRY_SECONDS = 0.8
"""A configuration has to be in force two seconds after the store is back."""

REFRESH_SECONDS = 1.0
"""Shortest time between two readings that were asked for."""

LOG = Log(prefix="store")


class StoreFollower:
    """Reads each prefix once and watches it; reads it again when history is lost.

    :param store: the store.
    :param directory: the directory to fill.
    """

    def __init__(self, *, store: ItemStore, directory: Directory) -> None:
        self._store = store
        self._directory = directory
        self.answered_at = trio.current_time()
        self.calls = 0
        self._lost = False
        self._refresh_at = -math.inf
        self._failed_at = -math.inf
        self._failed_prefix = ""

    @property
    def lost(self) -> bool:
        """True while the store does not answer."""
        return self._lost

    async def refresh(self, prefix: str) -> None:
        """Read a prefix again, at most once in a while.

        :param prefix: beginning of the keys.
        """
        now = trio.current_time()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_SECONDS
            await self._read(prefix)

    async def run(self) -> None:
        """Follow all prefixes until cancelled."""
        async with trio.open_nursery() as nursery:
            for prefix in self._directory.tables:
                nursery.start_soon(self._follow, prefix)
            nursery.start_soon(self._find_return)

    async def _find_return(self) -> None:
        """Ask the store after a failed refresh, as the watches may wait through the outage."""
        while True:
            await trio.sleep(REFRESH_SECONDS)
            if self._lost and trio.current_time() > self._failed_at + REFRESH_SECONDS:
                await self._read(self._failed_prefix)

    async def _follow(self, prefix: str) -> None:
        retry = FIRST_RETRY_SECONDS
        known = False
        while True:
            done = await (self._watch(prefix) if known else self._read(prefix))
            if done is None:
                known = True
                retry = FIRST_RETRY_SECONDS
                continue
            if done.history_lost:
                known = False
            await trio.sleep(retry * (0.5 + random.random()))
            retry = min(LAST_RETRY_SECONDS, retry * 2)

    async def _read(self, prefix: str) -> ItemStoreFailure | None:
        self.calls += 1
        read = await self._store.read(prefix, trio.current_time() + READ_SECONDS)
        if isinstance(read, Err):
            return self._note_failure(prefix, read.err_value)
        self._note_answer()
        self._directory.replace(prefix, read.ok_value.items, read.ok_value.revision, "store")
        return None

    async def _watch(self, prefix: str) -> ItemStoreFailure | None:
        self.calls += 1
        revision = self._directory.tables[prefix].revision
        seen = await self._store.watch(prefix, revision)
        if isinstance(seen, Err):
            return self._note_failure(prefix, seen.err_value)
        self._note_answer()
        self._directory.apply(prefix, seen.ok_value.items, seen.ok_value.revision, "store")
        return None

    def _note_failure(self, prefix: str, failure: ItemStoreFailure) -> ItemStoreFailure:
        if not failure.history_lost:
            self._directory.note_outage(trio.current_time())
        if not self._lost or failure.history_lost:
            LOG.write("the store did not answer", prefix=prefix, reason=failure.reason)
        self._lost = True
        self._failed_at = trio.current_time()
        self._failed_prefix = prefix
        return failure

    def _note_answer(self) -> None:
        now = trio.current_time()
        if self._lost:
            LOG.write("the store answers again", silent_seconds=round(now - self.answered_at, 3))
            self._directory.note_return(now)
        self._lost = False
        self.answered_at = now
