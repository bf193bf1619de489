"""Items under the prefix of the configuration beside the configuration itself."""

import math
from collections.abc import Callable, Iterable

import trio

from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.endpoint_entries import REWRITE_GRACE_SECONDS


class OtherItems:
    """Hands the items on to listeners.

    When the store has come back from an older copy, what the copy lacks and what differs in it is
    not handed on before the operator has had the time to write it again.

    :param table: the items under the prefix.
    :param configuration_key: key of the configuration.
    """

    def __init__(self, *, table: ItemTable, configuration_key: str) -> None:
        self._table = table
        self._configuration_key = configuration_key
        self._restored_at = -math.inf
        self._copied: dict[str, int] = {}
        self._held: dict[str, StoredItem] = {}
        self._listeners: list[Callable[[StoredItem, StoreEra], None]] = []

    def add_listener(self, listener: Callable[[StoredItem, StoreEra], None]) -> None:
        """Register a function to call with each changed item and the era of its revision.

        :param listener: the function; it must not block.
        """
        self._listeners.append(listener)

    def record_restore(self, changed: Iterable[StoredItem]) -> None:
        """Record that the store has come back from a copy.

        Items that are as they were have revisions of the new era, too.

        :param changed: the items that differ in the copy.
        """
        self._restored_at = trio.current_time()
        self._copied = {item.key: item.revision for item in changed}
        for item in self._table.list_present():
            if item.key != self._configuration_key and item.key not in self._copied:
                self._held.pop(item.key, None)
                self._notify(item)

    def apply(self, item: StoredItem) -> None:
        """Hand on a changed item, or keep it until it can have been written again.

        :param item: the item.
        """
        self._held.pop(item.key, None)
        is_of_copy = item.value is None or self._copied.get(item.key) == item.revision
        if is_of_copy and trio.current_time() < self._restored_at + REWRITE_GRACE_SECONDS:
            self._held[item.key] = item
        else:
            self._notify(item)

    def apply_due(self, now: float) -> None:
        """Hand on the items that have not been written again in time.

        :param now: monotonic time in seconds.
        """
        if now >= self.compute_due():
            held, self._held = self._held, {}
            for item in held.values():
                self._notify(item)

    def compute_due(self) -> float:
        """Return the monotonic time in seconds at which items are due, infinity for none."""
        return self._restored_at + REWRITE_GRACE_SECONDS if self._held else math.inf

    def _notify(self, item: StoredItem) -> None:
        for notify in self._listeners:
            notify(item, self._table.era)
