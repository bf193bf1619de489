"""Replicates the lists from the store."""

import random
import time
from collections.abc import Callable

import trio
from result import Err, Ok

from gypsumpost_core.gateway.store_era import NO_ERA
from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_replica import ListReplica
from gypsumpost_daemon.lists.list_head import ListHead
from gypsumpost_daemon.lists.list_records import (
    HEAD_KEY,
    HISTORY_END,
    HISTORY_PREFIX,
    decode_record,
)
from gypsumpost_daemon.lists.list_restore import restore_lists
from gypsumpost_daemon.lists.stored_lists import (
    StoredLists,
    get_read_pairs,
    read_history,
    read_lists,
)
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_transaction import StoreGet, StoreTransaction
from gypsumpost_daemon.telemetry.log import Log

CALL_SECONDS = 2.0
PROBE_SECONDS = 3.0
"""Interval of reads of the head, which detect a watch that was interrupted without an error."""

SETTLE_SECONDS = 3.0
"""Longer than the interval of polls between hosts."""

FIRST_RETRY_SECONDS = 0.25
LAST_RETRY_SECONDS = 5.0

LOG = Log(prefix="lists")


class StoreWatcher:
    """Keeps a replica up to date by watching the store.

    :param store: the platform's store.
    :param replica: this daemon's replica of the lists.
    :param notify: called when the replica may have advanced; must not block.
    :param rng: random number generator for retry jitter.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    """

    def __init__(
        self,
        *,
        store: Store,
        replica: ListReplica,
        notify: Callable[[], None],
        rng: random.Random,
        eras: EraMonitor | None = None,
    ) -> None:
        self._eras = eras or EraMonitor()
        self._store = store
        self._replica = replica
        self._notify = notify
        self._rng = rng

    async def follow(self) -> None:
        """Load the lists and watch their history until cancelled; restart on store failures."""
        retry = FIRST_RETRY_SECONDS
        while True:
            read = await read_lists(self._store, trio.current_time() + CALL_SECONDS)
            if isinstance(read, Err):
                LOG.write("the store did not answer", reason=read.err_value.reason)
                await trio.sleep(retry * (0.5 + self._rng.random()))
                retry = min(LAST_RETRY_SECONDS, retry * 2)
                continue
            retry = FIRST_RETRY_SECONDS
            if self._is_outdated(read.ok_value.lists.revision):
                await self._restore()
                continue
            await self._load(read.ok_value)
            await self._watch(read.ok_value.store_revision + 1)
            # If the store ends each watch immediately, this pause prevents a tight loop.
            await trio.sleep(retry * (0.5 + self._rng.random()))

    def _is_outdated(self, stored_revision: int) -> bool:
        # Without eras, a lower revision can only be a read that a newer one has overtaken.
        return self._eras.era != NO_ERA and stored_revision < self._replica.revision

    async def _restore(self) -> None:
        # By then the peers of this host have sent it their newest changes, if it lacks some.
        await trio.sleep(SETTLE_SECONDS * (1 + 0.5 * self._rng.random()))
        deadline = trio.current_time() + CALL_SECONDS
        read = await read_lists(self._store, deadline)
        if isinstance(read, Err) or not self._is_outdated(read.ok_value.lists.revision):
            return
        known = self._replica.lists
        done = await restore_lists(self._store, read.ok_value, known, deadline)
        if done == Ok(True):
            lost = read.ok_value.lists.revision
            LOG.write("stored the lists again", stored=lost, known=known.revision)

    async def _load(self, stored: StoredLists) -> None:
        known, last = self._replica.revision, stored.lists.revision
        if 0 < known < last:
            # Forwarding changes to peers is cheaper than forwarding a snapshot.
            deadline = trio.current_time() + CALL_SECONDS
            history = await read_history(self._store, known + 1, last, deadline)
            for record in history.unwrap_or([]):
                self._replica.apply(record.summarize())
        self._replica.adopt(stored.lists)
        self._record_store_contact()

    async def _watch(self, start_revision: int) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe, nursery.cancel_scope)
            async for events in self._store.watch(HISTORY_PREFIX, HISTORY_END, start_revision):
                if not self._apply(events):
                    break
                self._record_store_contact()
            nursery.cancel_scope.cancel()

    def _apply(self, events: list[StoreEvent]) -> bool:
        values = [event.value for event in events if event.value is not None]
        records = [decode_record(value, HistoryRecord) for value in values]
        return all([self._replica.apply(record.summarize()) for record in records])

    async def _probe(self, watch_scope: trio.CancelScope) -> None:
        missed = False
        while True:
            await trio.sleep(PROBE_SECONDS)
            read = StoreTransaction(success=(StoreGet(key=HEAD_KEY),))
            deadline = trio.current_time() + CALL_SECONDS
            done = await self._store.run_transaction(read, deadline)
            if isinstance(done, Err):
                break
            heads = get_read_pairs(done.ok_value, 0)
            revision = decode_record(heads[0].value, ListHead).revision if heads else 0
            # A single probe may be ahead of the watch; two in a row mean that the watch is broken.
            if missed and revision > self._replica.revision:
                break
            missed = revision > self._replica.revision
            if self._is_outdated(revision):
                break
            self._record_store_contact()
        watch_scope.cancel()

    def _record_store_contact(self) -> None:
        self._replica.record_store_contact(time.time())
        self._notify()
