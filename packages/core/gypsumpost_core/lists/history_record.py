"""The history record of an accepted edit."""

import attrs

from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.list_change import ListChange


@attrs.frozen(kw_only=True)
class HistoryRecord:
    """Who changed what; diff and undo read it.

    :param revision: the revision that the edit produced.
    :param nonce: chosen by the editor, so that it recognizes its own edit after a lost answer.
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
        """Return what the daemons need of the record."""
        return ListChange(
            revision=self.revision,
            changed=tuple(edit.after for edit in self.edits if edit.after is not None),
            removed=tuple(edit.key for edit in self.edits if edit.after is None),
        )
