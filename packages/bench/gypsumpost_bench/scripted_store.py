"""An in-memory store whose faults are scripted for each conditional transaction."""

from collections.abc import AsyncIterator

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_logic import StoreLogic
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_transaction import StoreTransaction
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

DOWN = StoreFailure(reason="down", sent=False)


@attrs.define(kw_only=True)
class ScriptedStore:
    """The logic of the stand-in store with scripted faults.

    :param faults: one entry for each of the next conditional transactions: ``"before"`` loses the
        call, ``"after"`` its answer; any other entry is no fault.
    :param down: true while no call reaches the store.
    """

    faults: list[str] = attrs.field(factory=list)
    down: bool = False
    watches: int = attrs.field(default=0, init=False)
    _logic: StoreLogic = attrs.field(factory=StoreLogic, init=False)
    _waiters: set[trio.Event] = attrs.field(factory=set, init=False)

    async def run_transaction(
        self, transaction: StoreTransaction, deadline: float
    ) -> Result[StoreTransactionResult, StoreFailure]:
        """Run a transaction, or fail as scripted."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return Err(DOWN)
        fault = self.faults.pop(0) if self.faults and transaction.compare else ""
        if fault == "before":
            return Err(StoreFailure(reason="lost call", sent=True))
        result = self._logic.run_transaction(transaction, trio.current_time())
        if fault == "after":
            return Err(StoreFailure(reason="lost answer", sent=True))
        return Ok(result)

    async def grant_lease(self, ttl_seconds: int, deadline: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        if self.down:
            return Err(DOWN)
        return await MemoryStore(logic=self._logic).grant_lease(ttl_seconds, deadline)

    async def renew_lease(self, lease: int, deadline: float) -> Result[int, StoreFailure]:
        """Renew a lease and return its remaining seconds, 0 if it has expired."""
        if self.down:
            return Err(DOWN)
        return await MemoryStore(logic=self._logic).renew_lease(lease, deadline)

    async def revoke_lease(self, lease: int, deadline: float) -> Result[None, StoreFailure]:
        """End a lease and delete its keys."""
        if self.down:
            return Err(DOWN)
        return await MemoryStore(logic=self._logic).revoke_lease(lease, deadline)

    async def watch(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncIterator[list[StoreEvent]]:
        """Yield past events of a range, then new ones; ends when the store is down."""
        self.watches += 1
        try:
            while not self.down:
                events = self._logic.list_events(key, range_end, start_revision)
                if events:
                    start_revision = events[-1].mod_revision + 1
                    yield events
                else:
                    await self._wait_for_change()
        finally:
            self.watches -= 1

    async def _wait_for_change(self) -> None:
        changed = trio.Event()
        self._waiters.add(changed)
        remove_listener = self._logic.add_listener(changed.set)
        try:
            await changed.wait()
        finally:
            remove_listener()
            self._waiters.discard(changed)

    def set_down(self, down: bool) -> None:
        """Make the store unreachable or reachable; an outage ends all watches."""
        self.down = down
        for waiting in self._waiters:
            waiting.set()
