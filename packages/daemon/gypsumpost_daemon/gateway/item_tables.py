"""The tables of a directory by prefix, and what hosts send each other of them."""

from collections.abc import Iterable

from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.directory_query import DirectoryQuery
from gypsumpost_daemon.gateway.item_set import ItemSet


class ItemTables(dict[str, ItemTable]):
    """The items of a directory by their prefix."""

    def list_sets(self, query: DirectoryQuery) -> list[ItemSet]:
        """Return the items that a peer lacks, except under prefixes that were not read yet.

        :param query: what the peer has.
        """
        return [self._create_set(prefix, query) for prefix, table in self.items() if table.loaded]

    def lacks_kept(self, entry: ItemSet) -> bool:
        """Return true if a peer has left out an item that this host does not have.

        :param entry: the items that the peer has sent.
        """
        table = self.get(entry.prefix)
        if table is None or entry.era != table.era:
            return False
        return not table.holds(entry.kept, entry.revision)

    def can_use(self, sets: Iterable[ItemSet]) -> bool:
        """Return true if no list of a peer is of an earlier era than is known.

        :param sets: the lists.
        """
        return all(entry.era >= self[entry.prefix].era for entry in sets if entry.prefix in self)

    def list_positions(self) -> dict[str, StorePosition]:
        """Return the position up to which all items are known, by prefix.

        The revision of a prefix that was not read yet is 0.
        """
        return {
            prefix: StorePosition(era=table.era, revision=table.revision if table.loaded else 0)
            for prefix, table in self.items()
        }

    def list_first_revisions(self) -> dict[str, int]:
        """Return the revision from which on all removals are known, by prefix."""
        return {prefix: table.first_revision for prefix, table in self.items()}

    def forget_revision(self, prefix: str) -> None:
        """Keep the items under a prefix, but count them as complete only after the next full list.

        :param prefix: the prefix.
        """
        if prefix in self:
            self[prefix].forget_revision()

    def _create_set(self, prefix: str, query: DirectoryQuery) -> ItemSet:
        table, position = self[prefix], query.known.get(prefix, StorePosition())
        known = position.revision if table.resolve_era(position.era) == table.era else 0
        changes = table.list_changes_after(known)
        items = table.list_present() if changes is None else changes
        kept = []
        if changes is None and query.accepts_kept:
            kept = [item.key for item in items if item.revision <= known]
            items = [item for item in items if item.revision > known]
        return ItemSet(
            prefix=prefix,
            revision=table.revision,
            era=table.era,
            items=tuple(items),
            partial=changes is not None,
            kept=tuple(kept),
        )
