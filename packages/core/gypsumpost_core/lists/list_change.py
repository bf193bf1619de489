"""An accepted change of the lists as the daemons pass it on."""

import attrs

from gypsumpost_core.lists.list_entry import EntryKey, ListEntry


@attrs.frozen(kw_only=True)
class ListChange:
    """What one revision changed.

    :param revision: the revision that the change produced.
    :param changed: entries that were added or changed.
    :param removed: entries that were removed.
    """

    revision: int
    changed: tuple[ListEntry, ...] = ()
    removed: tuple[EntryKey, ...] = ()
