"""Interface to a store of items that are read, watched by prefix and changed under conditions."""

from typing import Protocol

import attrs
from result import Result

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_answer import WriteAnswer
from gypsumpost_daemon.gateway.write_failure import WriteFailure


@attrs.frozen(kw_only=True)
class ItemBatch:
    """Items or changes that are complete up to a revision.

    :param items: the items or changes.
    :param revision: the store's revision.
    :param era: era of the store, ``None`` if the answer names none.
    """

    items: tuple[StoredItem, ...]
    revision: int
    era: StoreEra | None = None


@attrs.frozen(kw_only=True)
class ItemStoreFailure:
    """Why a call to the store failed.

    :param reason: a short description.
    :param history_lost: true if the store no longer keeps the requested changes.
    :param connection_lost: true if an open connection broke. That says nothing of the store itself.
    :param wrong_era: true if the answer was of an era that is not believed.
    :param era: era of the store, ``None`` if there was no answer or it names none.
    """

    reason: str
    history_lost: bool = False
    connection_lost: bool = False
    wrong_era: bool = False
    era: StoreEra | None = None


class ItemStore(Protocol):
    """A client of the store."""

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, ItemStoreFailure]:
        """Read all items under a prefix until a deadline in monotonic time."""
        ...

    async def watch(self, prefix: str, revision: int) -> Result[ItemBatch, ItemStoreFailure]:
        """Wait for changes after a revision."""
        ...

    async def poll(
        self, prefix: str, revision: int, deadline: float
    ) -> Result[ItemBatch, ItemStoreFailure]:
        """Return the changes after a revision until now, until a deadline in monotonic time."""
        ...

    async def commit(
        self, transaction: ItemTransaction, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """Change items until a deadline in monotonic time."""
        ...

    async def open_lease(self, seconds: float, deadline: float) -> Result[StoreLease, WriteFailure]:
        """Open a lease that ends after some seconds unless it is renewed."""
        ...

    async def renew_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """Let a lease last its whole time from now on."""
        ...

    async def end_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """End a lease and remove the items written under it."""
        ...
