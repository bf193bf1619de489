"""An entry of either list."""

import attrs

from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.workspace_plan import WorkspacePlan

ListEntry = WorkspacePlan | Allowance


@attrs.frozen(kw_only=True)
class EntryKey:
    """The list and the name of an entry."""

    kind: ListKind
    name: str


def get_key(entry: ListEntry) -> EntryKey:
    """Return the list and the name of an entry.

    :param entry: the entry.
    """
    kind = ListKind.PLANS if isinstance(entry, WorkspacePlan) else ListKind.ALLOWANCES
    return EntryKey(kind=kind, name=entry.name)
