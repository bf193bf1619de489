"""Differences between snapshots of the lists, and undo of edits."""

import difflib
from collections.abc import Iterable

from result import Err, Ok, Result

from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_entry import EntryKey, ListEntry
from gypsumpost_core.lists.list_file import format_entry
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.lists import Lists


def compute_difference(before: Lists, after: Lists) -> tuple[EntryEdit, ...]:
    """Return the entries in which two snapshots differ, ordered by list and name.

    :param before: the earlier snapshot.
    :param after: the later snapshot.
    """
    edits = []
    for kind in ListKind:
        old, new = before.get_entries(kind), after.get_entries(kind)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                key = EntryKey(kind=kind, name=name)
                edits.append(EntryEdit(key=key, before=old.get(name), after=new.get(name)))
    return tuple(edits)


def format_edits(edits: tuple[EntryEdit, ...]) -> str:
    """Return edits as a unified diff.

    :param edits: the edits.
    """
    lines: list[str] = []
    for edit in edits:
        label = f"{edit.key.kind.value}/{edit.key.name}"
        old, new = _format_lines(edit.before), _format_lines(edit.after)
        lines += difflib.unified_diff(old, new, label, label, n=8, lineterm="")
    return "\n".join(lines)


def undo_edits(
    edits: tuple[EntryEdit, ...], current: Lists
) -> Result[Lists, tuple[EntryEdit, ...]]:
    """Return the lists with earlier edits reverted.

    :param edits: the edits of one history record.
    :param current: the current lists.
    :returns: the lists, or the later changes to the edited entries, which undo would overwrite.
    """
    entries = {kind: dict(current.get_entries(kind)) for kind in ListKind}
    changed_since = []
    for edit in edits:
        now = entries[edit.key.kind].get(edit.key.name)
        if now != edit.after:
            changed_since.append(EntryEdit(key=edit.key, before=edit.after, after=now))
        entries[edit.key.kind].pop(edit.key.name, None)
        if edit.before is not None:
            entries[edit.key.kind][edit.key.name] = edit.before
    if changed_since:
        return Err(tuple(changed_since))
    undone = current
    for kind, by_name in entries.items():
        undone = undone.replace(kind, by_name.values())
    return Ok(undone)


def _format_lines(entry: ListEntry | None) -> list[str]:
    return [] if entry is None else format_entry(entry).splitlines()


def merge_edits(records: Iterable[HistoryRecord]) -> tuple[EntryEdit, ...]:
    """Return the combined effect of successive history records.

    :param records: the records, oldest first.
    """
    merged: dict[EntryKey, EntryEdit] = {}
    for edit in (edit for record in records for edit in record.edits):
        first = merged.get(edit.key, edit)
        merged[edit.key] = EntryEdit(key=edit.key, before=first.before, after=edit.after)
    return tuple(edit for edit in merged.values() if edit.before != edit.after)
