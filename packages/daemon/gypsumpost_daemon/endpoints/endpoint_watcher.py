"""Watches the desired states of endpoints in the store."""

import random
from collections.abc import Callable
from contextlib import aclosing

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.endpoints.endpoint_record import (
    PREFIX,
    PREFIX_END,
    STOPPED,
    find_stopped,
    read_endpoint_name,
    read_endpoint_record,
)
from gypsumpost_daemon.endpoints.stopped_endpoints import StoppedEndpoints
from gypsumpost_daemon.lists.stored_lists import get_read_pairs
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
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


class EndpointWatcher:
    """Reads the stopped endpoints from the store and watches for changes.

    :param store: the platform's store.
    :param adopt: called with each new state; must not block.
    :param rng: random number generator for retry jitter.
    """

    def __init__(
        self,
        *,
        store: Store,
        adopt: Callable[[StoppedEndpoints], None],
        rng: random.Random,
    ) -> None:
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
            self._adopt(read.ok_value)
            with trio.move_on_after(REREAD_SECONDS):
                await self._watch(read.ok_value)
                # Avoids a tight loop of calls to a store that ends every watch immediately.
                await trio.sleep(retry)

    async def _read(self) -> Result[StoppedEndpoints, StoreFailure]:
        read = StoreTransaction(success=(StoreGet(key=PREFIX, range_end=PREFIX_END),))
        outcome = await self._store.run_transaction(read, trio.current_time() + CALL_SECONDS)
        if isinstance(outcome, Err):
            return outcome
        names = find_stopped(get_read_pairs(outcome.ok_value, 0))
        return Ok(StoppedEndpoints(revision=outcome.ok_value.revision, names=names))

    async def _watch(self, state: StoppedEndpoints) -> None:
        events = self._store.watch(PREFIX, PREFIX_END, state.revision + 1)
        async with aclosing(events):  # type: ignore[type-var]
            async for batch in events:
                state = apply_events(state, batch)
                self._adopt(state)


def apply_events(state: StoppedEndpoints, events: list[StoreEvent]) -> StoppedEndpoints:
    """Return the state after a batch of changes.

    :param state: the state before.
    :param events: changes of keys below the prefix, in order.
    """
    names, revision = set(state.names), state.revision
    for event in events:
        name = read_endpoint_name(event.key)
        record = None if event.value is None else read_endpoint_record(event.value)
        names.discard(name)
        if isinstance(record, Ok) and record.ok_value.desired == STOPPED:
            names.add(name)
        revision = max(revision, event.mod_revision)
    return StoppedEndpoints(revision=revision, names=frozenset(names))
