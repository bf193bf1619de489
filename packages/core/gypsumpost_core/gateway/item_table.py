"""Local replica of the items under one prefix of the store."""

from collections.abc import Collection, Iterable

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem

REMOVED_IN_FORMER_ERA = 0
"""Revision of removals of a former era, lower than that of any item."""


class ItemTable:
    """Applies changes that arrive in any order and from several sources.

    The revision of a removed key is kept, so that an older write that arrives late has no effect.
    The changes are complete up to ``revision``; ``newest`` is the revision of the newest item, and
    ``discarded`` that of the newest item that could not be used. All revisions are of one ``era``
    of the store; what is of an earlier one has no effect, and a complete read begins a later one.
    ``restores`` is how often a later era has begun after an earlier one, and ``revived`` holds the
    revisions of items that exist at its begin although their removal was known.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredItem] = {}
        self._first_revision: int | None = None
        self.era = NO_ERA
        self.revision = 0
        self.newest = 0
        self.discarded = 0
        self.restores = 0
        self.revived: dict[str, int] = {}
        # Keys of items that did not exist at the begin of the era, although nobody removed them.
        self._lacking: set[str] = set()

    @property
    def loaded(self) -> bool:
        """True once a complete read has been applied."""
        return self._first_revision is not None

    @property
    def first_revision(self) -> int:
        """Revision from which on the table knows all removals, 0 before a complete read."""
        return self._first_revision or 0

    def apply(
        self, items: Iterable[StoredItem], revision: int, era: StoreEra = NO_ERA
    ) -> list[StoredItem]:
        """Apply changes and return those that were not known, the last one of each key.

        Changes of a later era have no effect, as they may rest on changes that are not known.

        :param items: the changes.
        :param revision: revision of the store up to which the changes are complete.
        :param era: era of the store.
        """
        if era != self.era:
            return []
        changed = {}
        for item in items:
            current = self._items.get(item.key)
            if current is None or item.revision > current.revision:
                self._items[item.key] = item
                self.newest = max(self.newest, item.revision)
                self._lacking.discard(item.key)
                changed[item.key] = item
        self.revision = max(self.revision, revision)
        return list(changed.values())

    def replace(
        self,
        items: Iterable[StoredItem],
        revision: int,
        kept: Collection[str] = (),
        era: StoreEra = NO_ERA,
    ) -> list[StoredItem]:
        """Apply a complete read of the prefix and return the changes, removals included.

        Items newer than the read are kept, unless the read begins a later era.

        :param items: all items that exist.
        :param revision: revision of the store at which the read began.
        :param kept: keys of items that exist as they are known.
        :param era: era of the store.
        """
        if era < self.era:
            return []
        present = list(items)
        if era > self.era:
            return [] if kept else self._begin_era(present, revision, era)
        keys = {item.key for item in present}.union(kept)
        removed = [
            StoredItem(key=item.key, revision=revision, value=None)
            for item in self._items.values()
            if item.value is not None and item.key not in keys and item.revision <= revision
        ]
        if self._first_revision is None:
            self._first_revision = revision
        return self.apply([*present, *removed], revision, era)

    def find(self, key: str) -> StoredItem | None:
        """Return the latest write or removal of a key, ``None`` if none is known.

        :param key: the key.
        """
        return self._items.get(key)

    def resolve_era(self, era: StoreEra) -> StoreEra:
        """Return the era of revisions that a host of an older version names.

        :param era: the era that it names, ``NO_ERA`` if it knows none.
        """
        return self.era if era == NO_ERA and not self.restores else era

    def _begin_era(
        self, present: list[StoredItem], revision: int, era: StoreEra
    ) -> list[StoredItem]:
        """Take over the items of a later era and return those whose values differ.

        Removals stay known, as the store may come back once more, from a copy older than those.
        """
        former = {item.key: item.value for item in self._items.values()}
        known_removed: set[str] = set()
        if self.era != NO_ERA:  # Else a peer without eras has sent what is known.
            known_removed = {key for key in former if former[key] is None} - self._lacking
        self.restores += self.era != NO_ERA and (bool(self._items) or self.loaded)
        self._items = {
            key: StoredItem(key=key, revision=REMOVED_IN_FORMER_ERA, value=None)
            for key in known_removed
        }
        self._first_revision = None
        self.era, self.revision, self.newest, self.discarded = era, 0, 0, 0
        keys = {item.key for item in present}
        removed = [
            StoredItem(key=key, revision=revision, value=None)
            for key, value in former.items()
            if value is not None and key not in keys
        ]
        self.revived = {item.key: item.revision for item in present if item.key in known_removed}
        self._first_revision = revision
        applied = self.apply([*present, *removed], revision, era)
        self._lacking = former.keys() - known_removed - keys
        return [item for item in applied if item.value != former.get(item.key)]

    def holds(self, keys: Iterable[str], revision: int) -> bool:
        """Return true if the items of some keys are known, or their removals after a revision.

        :param keys: the keys.
        :param revision: revision of the store at which the items exist.
        """
        found = [self._items.get(key) for key in keys]
        return all(
            item is not None and (item.value is not None or item.revision > revision)
            for item in found
        )

    def forget_revision(self) -> None:
        """Keep the items, but no longer take them for complete until the next complete read.

        The revision comes from whoever sent the changes. If it was too high, changes are missing.
        """
        self._first_revision = None
        self.revision = 0

    def discard(self, key: str) -> None:
        """Drop an item that cannot be used, so that the same write is applied when it comes again.

        :param key: key of the item.
        """
        item = self._items.pop(key, None)
        if item is not None:
            self.discarded = max(self.discarded, item.revision)
        self.forget_revision()

    def list_present(self) -> list[StoredItem]:
        """Return the items that exist."""
        return [item for item in self._items.values() if item.value is not None]

    def list_changes_after(self, revision: int) -> list[StoredItem] | None:
        """Return the changes after a revision, ``None`` if the table may lack removals since then.

        :param revision: revision up to which the receiver has the changes.
        """
        if self._first_revision is None or revision < self._first_revision:
            return None
        return [item for item in self._items.values() if item.revision > revision]
