"""The change of one entry by an edit."""

import attrs

from gypsumpost_core.lists.list_entry import EntryKey, ListEntry


@attrs.frozen(kw_only=True)
class EntryEdit:
    """One entry before and after an edit.

    :param key: list and name of the entry.
    :param before: the entry before the edit, ``None`` if the edit added it.
    :param after: the entry after the edit, ``None`` if the edit removed it.
    """

    key: EntryKey
    before: ListEntry | None
    after: ListEntry | None
