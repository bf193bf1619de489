"""Watches the desired states of endpoints in the store."""

import random
from collections.abc import Callable
from contextlib import aclosing

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.endpoints.endpoint_record import (
    PREFIX,
    PREFIX_END,
    STOPPED,
    EndpointRecord,
    find_stopped,
    read_endpoint_name,
    read_endpoint_record,
)
from gypsumpost_daemon.endpoints.endpoint_restore import (
    find_lost_records,
    read_records,
    restore_records,
)
from gypsumpost_daemon.endpoints.stopped_endpoints import StoppedEndpoints
from gypsumpost_daemon.lists.stored_lists import get_read_pairs
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import StoreGet, StoreTransaction
from gypsumpost_daemon.store.store_watcher import (
    CALL_SECONDS,
    FIRST_RETRY_SECONDS,
    LAST_RETRY_SECONDS,
)
from gypsumpost_daemon.telemetry.log import Log

REREAD_SECONDS = 3.0
"""Time after which the records are read again; bounds the delay when a watch silently breaks."""

LOG = Log(prefix="endpoints")


@attrs.frozen(kw_only=True)
class StoredEndpoints:
    """The records of endpoints in the store.

    :param pairs: keys and values.
    :param revision: store revision of the read.
    :param era: era of the store.
    """

    pairs: tuple[StoreKeyValue, ...]
    revision: int
    era: StoreEra

    def find_state(self) -> StoppedEndpoints:
        """Return the stopped endpoints; a later era has a higher revision."""
        position = StorePosition(era=self.era, revision=self.revision)
        return StoppedEndpoints(revision=position.to_token(), names=find_stopped(self.pairs))


class EndpointWatcher:
    """Reads the stopped endpoints from the store and watches for changes.

    :param store: the platform's store.
    :param adopt: called with each new state; must not block.
    :param rng: random number generator for retry jitter.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    """

    def __init__(
        self,
        *,
        store: Store,
        adopt: Callable[[StoppedEndpoints], None],
        rng: random.Random,
        eras: EraMonitor | None = None,
    ) -> None:
        self._eras = eras or EraMonitor()
        self._era = NO_ERA
        self._records: dict[str, EndpointRecord] = {}
        self._store = store
        self._adopt = adopt
        self._rng = rng

    async def follow(self) -> None:
        """Read the records and watch for changes until cancelled."""
        retry = FIRST_RETRY_SECONDS
        while True:
            read = await self._read()
            if isinstance(read, Err):
                LOG.write("the store did not answer", reason=read.err_value.reason)
                await trio.sleep(retry * (0.5 + self._rng.random()))
                retry = min(LAST_RETRY_SECONDS, retry * 2)
                continue
            retry = FIRST_RETRY_SECONDS
            stored = read.ok_value
            if await self._restore(stored):
                await trio.sleep(retry * (0.5 + self._rng.random()))
                continue
            self._era, self._records = stored.era, read_records(stored.pairs)
            self._adopt(stored.find_state())
            with trio.move_on_after(REREAD_SECONDS):
                await self._watch(stored)
                # Avoids a tight loop of calls to a store that ends every watch immediately.
                await trio.sleep(retry)

    async def _restore(self, stored: StoredEndpoints) -> bool:
        # Returns true if the records have to be read again.
        if stored.era == self._era:
            return False
        lost = find_lost_records(self._records, stored.pairs)
        if not lost:
            return False
        deadline = trio.current_time() + CALL_SECONDS
        done = await restore_records(self._store, lost, deadline)
        if isinstance(done, Ok):
            LOG.write("stored the records again", count=len(lost), era=stored.era)
        return True

    async def _read(self) -> Result[StoredEndpoints, StoreFailure]:
        read = StoreTransaction(success=(StoreGet(key=PREFIX, range_end=PREFIX_END),))
        outcome = await self._store.run_transaction(read, trio.current_time() + CALL_SECONDS)
        if isinstance(outcome, Err):
            return outcome
        result = outcome.ok_value
        pairs = get_read_pairs(result, 0)
        return Ok(StoredEndpoints(pairs=pairs, revision=result.revision, era=self._eras.era))

    async def _watch(self, stored: StoredEndpoints) -> None:
        state = stored.find_state()
        events = self._store.watch(PREFIX, PREFIX_END, stored.revision + 1)
        async with aclosing(events):  # type: ignore[type-var]
            async for batch in events:
                state = apply_events(state, batch, stored.era)
                self._record(batch)
                self._adopt(state)

    def _record(self, events: list[StoreEvent]) -> None:
        for event in events:
            name = read_endpoint_name(event.key)
            record = None if event.value is None else read_endpoint_record(event.value)
            self._records.pop(name, None)
            if isinstance(record, Ok):
                self._records[name] = record.ok_value


def apply_events(
    state: StoppedEndpoints, events: list[StoreEvent], era: StoreEra = NO_ERA
) -> StoppedEndpoints:
    """Return the state after a batch of changes.

    :param state: the state before.
    :param events: changes of keys below the prefix, in order.
    :param era: era of the store.
    """
    names, revision = set(state.names), state.revision
    for event in events:
        name = read_endpoint_name(event.key)
        record = None if event.value is None else read_endpoint_record(event.value)
        names.discard(name)
        if isinstance(record, Ok) and record.ok_value.desired == STOPPED:
            names.add(name)
        position = StorePosition(era=era, revision=event.mod_revision)
        revision = max(revision, position.to_token())
    return StoppedEndpoints(revision=revision, names=frozenset(names))
