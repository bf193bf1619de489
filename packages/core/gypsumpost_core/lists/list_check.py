"""Consistency checks across both lists, and of the size of an edit."""

from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.list_error import ListError
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.lists import Lists

MAX_EDITED_ENTRIES = 100
"""etcd accepts 128 operations per transaction; head, history record and trimming need three."""


def check_lists(lists: Lists, lines: ListLines) -> list[ListError]:
    """Return plans without an allowance and keys that are used by more than one workspace.

    :param lists: the lists as they would be after the edit.
    :param lines: line numbers in the edited file.
    """
    return _check_plans(lists, lines) + _check_keys(lists, lines)


def check_size(edits: tuple[EntryEdit, ...]) -> list[ListError]:
    """Return an error if an edit changes more entries than one transaction of the store holds.

    :param edits: the changed entries.
    """
    if len(edits) <= MAX_EDITED_ENTRIES:
        return []
    message = f"the edit changes {len(edits)} entries; accepted: at most {MAX_EDITED_ENTRIES}"
    return [ListError(line=0, field="", message=message)]


def _check_plans(lists: Lists, lines: ListLines) -> list[ListError]:
    return [
        ListError(
            line=lines.find(name, "plan"),
            field=f"{name}.plan",
            message=f"no allowance has the name {entry.plan!r}, which workspace {name} uses",
        )
        for name, entry in lists.plans.items()
        if entry.plan not in lists.allowances
    ]


def _check_keys(lists: Lists, lines: ListLines) -> list[ListError]:
    owners: dict[str, str] = {}
    errors = []
    for name, entry in lists.plans.items():
        for digest in entry.keys:
            if digest in owners:
                message = f"the key {digest[:8]}… already belongs to workspace {owners[digest]}"
                line = lines.find(name, "keys")
                errors.append(ListError(line=line, field=f"{name}.keys", message=message))
            owners[digest] = name
    return errors
