"""The history record of an accepted edit."""

import attrs

from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.list_change import ListChange


@attrs.frozen(kw_only=True)
class HistoryRecord:
    """Author and changes of one edit; used by diff and undo.

    :param revision: the revision that the edit produced.
    :param nonce: random id that identifies the edit if the store's reply to its write was lost.
    :param author: the operator's name.
    :param time: Unix time in seconds.
    :param edits: the changed entries.
    """

    revision: int
    nonce: str
    author: str
    time: float
    edits: tuple[EntryEdit, ...]

    def summarize(self) -> ListChange:
        """Return the change that daemons apply: the record without author and previous entries."""
        return ListChange(
            revision=self.revision,
            changed=tuple(edit.after for edit in self.edits if edit.after is not None),
            removed=tuple(edit.key for edit in self.edits if edit.after is None),
        )
