"""State of the stand-in store: keys with revisions, transactions, leases and events."""

import copy
from collections.abc import Callable

from gypsumpost_bench.store_check import check_transaction
from gypsumpost_bench.store_copy import StoreCopy
from gypsumpost_bench.store_lease import StoreLease
from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreDelete,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

END_OF_KEYS = b"\0"
"""A ``range_end`` of one zero byte means all keys from ``key`` on, as in etcd."""


def is_in_range(candidate: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key lies in a range.

    :param candidate: the key to test.
    :param key: first key of the range.
    :param range_end: end of the range, empty for the single key.
    """
    if not range_end:
        return candidate == key
    return key <= candidate and (range_end == END_OF_KEYS or candidate < range_end)


class StoreLogic:
    """Keys with revisions as in etcd; the time is a parameter, in seconds.

    ``era`` is named in all answers, except if it is ``None``.
    """

    def __init__(self) -> None:
        self.era: StoreEra | None = None
        self.revision = 1
        self._keys: dict[bytes, StoreKeyValue] = {}
        self._leases: dict[int, StoreLease] = {}
        self._lease_of: dict[bytes, int] = {}
        self._next_lease = 1
        self._events: list[StoreEvent] = []
        self._listeners: list[Callable[[], None]] = []

    def run_transaction(self, transaction: StoreTransaction, now: float) -> StoreTransactionResult:
        """Run a transaction; all its writes get one revision.

        :param transaction: the transaction.
        :param now: current time in seconds.
        :raises StoreRejection: if etcd would refuse it; nothing is applied.
        """
        self.expire_leases(now)
        check_transaction(transaction)
        # etcd evaluates all conditions, also nested ones, on the state before the first write.
        branches: dict[int, bool] = {}
        self._choose_branches(transaction, branches)
        before = len(self._events)
        result = self._apply_transaction(transaction, branches, self.revision + 1)
        if len(self._events) > before:
            self._commit()
        return result

    def grant_lease(self, ttl_seconds: int, now: float) -> int:
        """Create a lease.

        :param ttl_seconds: its duration without renewal.
        :param now: current time in seconds.
        """
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = StoreLease(ttl_seconds=ttl_seconds, deadline=now + ttl_seconds)
        return lease

    def renew_lease(self, lease: int, now: float) -> int:
        """Renew a lease and return its remaining seconds, 0 if it has expired.

        :param lease: id of the lease.
        :param now: current time in seconds.
        """
        self.expire_leases(now)
        record = self._leases.get(lease)
        if record is None:
            return 0
        record.deadline = now + record.ttl_seconds
        return record.ttl_seconds

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys.

        :param lease: id of the lease.
        """
        record = self._leases.pop(lease, None)
        if record is None or not record.keys:
            return
        for key in sorted(record.keys):
            self._delete(key, self.revision + 1)
        self._commit()

    def expire_leases(self, now: float) -> None:
        """Revoke the leases whose deadline has passed.

        :param now: current time in seconds.
        """
        for lease in [name for name, record in self._leases.items() if record.deadline <= now]:
            self.revoke_lease(lease)

    def list_events(self, key: bytes, range_end: bytes, start_revision: int) -> list[StoreEvent]:
        """Return the changes in a range from a revision on.

        :param key: first key of the range.
        :param range_end: end of the range, empty for the single key.
        :param start_revision: first revision to return.
        """
        found: list[StoreEvent] = []
        for event in reversed(self._events):
            if event.mod_revision < start_revision:
                break
            if is_in_range(event.key, key, range_end):
                found.append(event)
        return found[::-1]

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a function that is called after each change.

        :param listener: the function; it must not block.
        :returns: a function that removes the listener.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def make_copy(self) -> StoreCopy:
        """Return a copy of the state, from which ``restore`` can come back."""
        return StoreCopy(
            revision=self.revision,
            keys=dict(self._keys),
            leases=copy.deepcopy(self._leases),
            lease_of=dict(self._lease_of),
            next_lease=self._next_lease,
        )

    def restore(self, older: StoreCopy) -> None:
        """Come back from an older copy in the next era: revisions and leases are given out again.

        :param older: the copy.
        """
        self.era = StoreEra((self.era or NO_ERA) + 1)
        self.revision = older.revision
        self._keys = dict(older.keys)
        self._leases = copy.deepcopy(older.leases)
        self._lease_of = dict(older.lease_of)
        self._next_lease = older.next_lease
        self._events = [event for event in self._events if event.mod_revision <= older.revision]
        self._notify()

    def _commit(self) -> None:
        self.revision += 1
        self._notify()

    def _notify(self) -> None:
        for listener in list(self._listeners):
            listener()

    def _choose_branches(self, transaction: StoreTransaction, branches: dict[int, bool]) -> None:
        succeeded = all(self._is_met(compare) for compare in transaction.compare)
        branches[id(transaction)] = succeeded
        for operation in transaction.success if succeeded else transaction.failure:
            if isinstance(operation, StoreTransaction):
                self._choose_branches(operation, branches)
            elif isinstance(operation, StorePut) and operation.lease not in (0, *self._leases):
                raise StoreRejection("requested lease not found")

    def _is_met(self, compare: StoreCompare) -> bool:
        current = self._keys.get(compare.key)
        if compare.create_revision is not None:
            return (current.create_revision if current else 0) == compare.create_revision
        if compare.mod_revision is not None:
            return (current.mod_revision if current else 0) == compare.mod_revision
        return current is not None and current.value == compare.value

    def _apply_transaction(
        self, transaction: StoreTransaction, branches: dict[int, bool], revision: int
    ) -> StoreTransactionResult:
        succeeded = branches[id(transaction)]
        before = len(self._events)
        operations = transaction.success if succeeded else transaction.failure
        results = tuple(self._apply(operation, branches, revision) for operation in operations)
        changed = len(self._events) > before
        return StoreTransactionResult(
            succeeded=succeeded,
            revision=revision if changed else self.revision,
            results=results,
        )

    def _apply(
        self, operation: StoreOperation, branches: dict[int, bool], revision: int
    ) -> tuple[StoreKeyValue, ...] | StoreTransactionResult:
        if isinstance(operation, StoreTransaction):
            return self._apply_transaction(operation, branches, revision)
        if isinstance(operation, StorePut):
            self._put(operation, revision)
            return ()
        keys = self._list_keys(operation)
        if isinstance(operation, StoreGet):
            return tuple(self._keys[key] for key in keys)
        for key in keys:
            self._delete(key, revision)
        return ()

    def _list_keys(self, operation: StoreGet | StoreDelete) -> list[bytes]:
        if not operation.range_end:
            return [operation.key] if operation.key in self._keys else []
        key, range_end = operation.key, operation.range_end
        return sorted(name for name in self._keys if is_in_range(name, key, range_end))

    def _put(self, put: StorePut, revision: int) -> None:
        previous = self._keys.get(put.key)
        self._detach_lease(put.key)
        if put.lease:
            self._leases[put.lease].keys.add(put.key)
            self._lease_of[put.key] = put.lease
        created = previous.create_revision if previous else revision
        self._keys[put.key] = StoreKeyValue(
            key=put.key, value=put.value, create_revision=created, mod_revision=revision
        )
        self._events.append(StoreEvent(key=put.key, value=put.value, mod_revision=revision))

    def _delete(self, key: bytes, revision: int) -> None:
        if self._keys.pop(key, None) is None:
            return
        self._detach_lease(key)
        self._events.append(StoreEvent(key=key, value=None, mod_revision=revision))

    def _detach_lease(self, key: bytes) -> None:
        lease = self._leases.get(self._lease_of.pop(key, 0))
        if lease is not None:
            lease.keys.discard(key)
