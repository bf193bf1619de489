"""A change of the lists, as replicated between daemons."""

import attrs

from gypsumpost_core.lists.list_entry import EntryKey, ListEntry


@attrs.frozen(kw_only=True)
class ListChange:
    """The entries that one revision changed.

    :param revision: the revision that the change produced.
    :param changed: entries that were added or changed.
    :param removed: entries that were removed.
    """

    revision: int
    changed: tuple[ListEntry, ...] = ()
    removed: tuple[EntryKey, ...] = ()
