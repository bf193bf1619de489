"""A store in memory whose faults are scripted call by call."""

from collections.abc import AsyncIterator

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.store_event import StoreEvent
from gypsumpost_daemon.store_failure import StoreFailure
from gypsumpost_daemon.store_key_value import StoreKeyValue
from gypsumpost_daemon.store_transaction import (
    StoreCompare,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store_transaction_result import StoreTransactionResult


@attrs.define(kw_only=True)
class ScriptedStore:
    """Keeps keys in memory.

    :param faults: for each coming write: ``"before"`` loses the call, ``"after"`` its answer.
    :param down: true while nothing reaches the store.
    """

    faults: list[str] = attrs.field(factory=list)
    down: bool = False
    revision: int = 1
    watches: int = 0
    keys: dict[bytes, StoreKeyValue] = attrs.field(factory=dict)
    events: list[StoreEvent] = attrs.field(factory=list)
    changed: trio.Event = attrs.field(factory=trio.Event)

    async def run_transaction(
        self, transaction: StoreTransaction, deadline: float
    ) -> Result[StoreTransactionResult, StoreFailure]:
        """Run a transaction unless a fault is due."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return Err(StoreFailure(reason="down", sent=False))
        fault = self.faults.pop(0) if self.faults and transaction.compare else ""
        if fault == "before":
            return Err(StoreFailure(reason="lost call", sent=True))
        result = self._run(transaction)
        if fault == "after":
            return Err(StoreFailure(reason="lost answer", sent=True))
        return Ok(result)

    async def grant_lease(self, ttl_seconds: int, deadline: float) -> Result[int, StoreFailure]:
        """Leases are not part of this store."""
        raise NotImplementedError

    async def keep_lease(self, lease: int, deadline: float) -> Result[int, StoreFailure]:
        """Leases are not part of this store."""
        raise NotImplementedError

    async def revoke_lease(self, lease: int, deadline: float) -> Result[None, StoreFailure]:
        """Leases are not part of this store."""
        raise NotImplementedError

    async def watch(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncIterator[list[StoreEvent]]:
        """Yield the recorded events of a range, then new ones as they happen."""
        self.watches += 1
        try:
            while not self.down:
                found = [
                    event
                    for event in self.events
                    if event.mod_revision >= start_revision and key <= event.key < range_end
                ]
                if found:
                    start_revision = found[-1].mod_revision + 1
                    yield found
                await self.changed.wait()
        finally:
            self.watches -= 1

    def set_down(self, down: bool) -> None:
        """Cut or restore the store; a cut ends all watches."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _run(self, transaction: StoreTransaction) -> StoreTransactionResult:
        succeeded = all(map(self._holds, transaction.compare))
        operations = transaction.success if succeeded else transaction.failure
        if any(not isinstance(operation, StoreGet) for operation in operations):
            self.revision += 1
        results = tuple(self._operate(operation) for operation in operations)
        self._wake()
        return StoreTransactionResult(succeeded=succeeded, revision=self.revision, results=results)

    def _holds(self, compare: StoreCompare) -> bool:
        pair = self.keys.get(compare.key)
        if compare.value is not None:
            return pair is not None and pair.value == compare.value
        if compare.mod_revision is not None:
            return (pair.mod_revision if pair else 0) == compare.mod_revision
        return (pair.create_revision if pair else 0) == compare.create_revision

    def _operate(
        self, operation: StoreOperation
    ) -> tuple[StoreKeyValue, ...] | StoreTransactionResult:
        if isinstance(operation, StoreTransaction):
            return self._run(operation)
        if isinstance(operation, StorePut):
            self._put(operation)
            return ()
        end = operation.range_end or operation.key + b"\0"
        found = tuple(self.keys[key] for key in sorted(self.keys) if operation.key <= key < end)
        if isinstance(operation, StoreGet):
            return found
        for pair in found:
            del self.keys[pair.key]
            self._record(pair.key, None)
        return ()

    def _put(self, operation: StorePut) -> None:
        before = self.keys.get(operation.key)
        self.keys[operation.key] = StoreKeyValue(
            key=operation.key,
            value=operation.value,
            create_revision=before.create_revision if before else self.revision,
            mod_revision=self.revision,
        )
        self._record(operation.key, operation.value)

    def _record(self, key: bytes, value: bytes | None) -> None:
        self.events.append(StoreEvent(key=key, value=value, mod_revision=self.revision))
