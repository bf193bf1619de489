"""Interface to a store of items that can be read and watched by prefix."""

from typing import Protocol

import attrs
from result import Result

from gypsumpost_core.gateway.stored_item import StoredItem


@attrs.frozen(kw_only=True)
class ItemBatch:
    """Items or changes that are complete up to a revision.

    :param items: the items or changes.
    :param revision: the store's revision.
    """

    items: tuple[StoredItem, ...]
    revision: int


@attrs.frozen(kw_only=True)
class ItemStoreFailure:
    """Why a call to the store failed.

    :param reason: a short description.
    :param history_lost: true if the store no longer keeps the requested changes.
    :param connection_lost: true if an open connection broke. That says nothing of the store itself.
    """

    reason: str
    history_lost: bool = False
    connection_lost: bool = False


class ItemStore(Protocol):
    """A client of the store."""

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, ItemStoreFailure]:
        """Read all items under a prefix until a deadline in monotonic time."""
        ...

    async def watch(self, prefix: str, revision: int) -> Result[ItemBatch, ItemStoreFailure]:
        """Wait for changes after a revision."""
        ...
