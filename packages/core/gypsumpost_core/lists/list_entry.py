"""An entry of either list."""

import attrs

from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.workspace_plan import WorkspacePlan

ListEntry = WorkspacePlan | Allowance


@attrs.frozen(kw_only=True)
class EntryKey:
    """Identifies an entry by its list and its name."""

    kind: ListKind
    name: str


def get_key(entry: ListEntry) -> EntryKey:
    """Return the key that identifies an entry.

    :param entry: the entry.
    """
    kind = ListKind.PLANS if isinstance(entry, WorkspacePlan) else ListKind.ALLOWANCES
    return EntryKey(kind=kind, name=entry.name)
