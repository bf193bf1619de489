"""The change of one entry, with its state before."""

import attrs

from gypsumpost_core.lists.list_entry import EntryKey, ListEntry


@attrs.frozen(kw_only=True)
class EntryEdit:
    """One entry before and after an edit.

    :param key: the entry.
    :param before: ``None`` for an added entry.
    :param after: ``None`` for a removed entry.
    """

    key: EntryKey
    before: ListEntry | None
    after: ListEntry | None
