"""Store of items in memory, which can come back from a copy."""

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.item_store import ItemBatch, ItemStoreFailure
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_answer import WriteAnswer
from gypsumpost_daemon.gateway.write_failure import WriteFailure, WriteFailureKind

FIRST_REVISION = 10


@attrs.define(kw_only=True)
class StoreContent:
    """What the store holds.

    :param revision: its revision.
    :param items: the items by key.
    :param owners: lease of each item that ends with one.
    :param leases: ends of the leases, as monotonic time in seconds.
    """

    revision: int = FIRST_REVISION
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    owners: dict[str, int] = attrs.field(factory=dict)
    leases: dict[int, float] = attrs.field(factory=dict)

    def copy(self) -> "StoreContent":
        """Return a copy."""
        return StoreContent(
            revision=self.revision,
            items=dict(self.items),
            owners=dict(self.owners),
            leases=dict(self.leases),
        )


class MemoryItemStore:
    """Reads, conditional writes and leases; ``era`` is named in all answers.

    ``min_lease_seconds`` is the shortest lease that is granted.
    """

    def __init__(self, *, era: int = 1) -> None:
        self.era = StoreEra(era)
        self.content = StoreContent()
        self.min_lease_seconds = 0.0

    def restore(self, content: StoreContent) -> None:
        """Come back from a copy."""
        self.content = content.copy()
        self.era = StoreEra(self.era + 1)

    def read_value(self, key: str) -> bytes:
        """Return the value of an item, empty if it does not exist."""
        item = self.content.items.get(key)
        return b"" if item is None else item.value or b""

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, ItemStoreFailure]:
        await trio.lowlevel.checkpoint()
        items = [item for key, item in self.content.items.items() if key.startswith(prefix)]
        batch = ItemBatch(items=tuple(items), revision=self.content.revision, era=self.era)
        return Ok(batch)

    async def watch(self, prefix: str, revision: int) -> Result[ItemBatch, ItemStoreFailure]:
        raise NotImplementedError

    async def poll(
        self, prefix: str, revision: int, deadline: float
    ) -> Result[ItemBatch, ItemStoreFailure]:
        raise NotImplementedError

    async def commit(
        self, transaction: ItemTransaction, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        await trio.lowlevel.checkpoint()
        self._end_leases()
        if any(
            write.lease and write.lease not in self.content.leases for write in transaction.writes
        ):
            return self._fail(WriteFailureKind.LEASE_ENDED)
        for key, revision in transaction.expected.items():
            item = self.content.items.get(key)
            if revision != (item.revision if item else 0):
                return self._fail(WriteFailureKind.CONFLICT)
        self.content.revision += 1
        for write in transaction.writes:
            self.content.items[write.key] = StoredItem(
                key=write.key, revision=self.content.revision, value=write.value
            )
            if write.lease:
                self.content.owners[write.key] = write.lease
        return Ok(WriteAnswer(revision=self.content.revision, era=self.era))

    async def open_lease(self, seconds: float, deadline: float) -> Result[StoreLease, WriteFailure]:
        await trio.lowlevel.checkpoint()
        self.content.revision += 1
        granted = max(seconds, self.min_lease_seconds)
        lease = StoreLease(lease_id=self.content.revision, seconds=granted, era=self.era)
        self.content.leases[lease.lease_id] = trio.current_time() + granted
        return Ok(lease)

    async def renew_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        await trio.lowlevel.checkpoint()
        self._end_leases()
        if lease.lease_id not in self.content.leases:
            return self._fail(WriteFailureKind.LEASE_ENDED)
        self.content.leases[lease.lease_id] = trio.current_time() + lease.seconds
        return Ok(WriteAnswer(era=self.era))

    async def end_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        await trio.lowlevel.checkpoint()
        self._end_lease(lease.lease_id)
        return Ok(WriteAnswer(era=self.era))

    def _fail(self, kind: WriteFailureKind) -> Err[WriteFailure]:
        return Err(WriteFailure(kind=kind, reason=kind.value, era=self.era))

    def _end_leases(self) -> None:
        now = trio.current_time()
        for lease in [lease for lease, end in self.content.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.content.leases.pop(lease, None)
        for key in [key for key, owner in self.content.owners.items() if owner == lease]:
            del self.content.owners[key]
            del self.content.items[key]
