"""Snapshot of both lists."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.list_entry import ListEntry
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.missing_changes import MissingChanges
from gypsumpost_core.lists.workspace_plan import WorkspacePlan, compute_key_digest
from gypsumpost_core.run_state import RunState


@attrs.frozen(kw_only=True)
class Lists:
    """Both lists at one revision.

    :param revision: the revision, 0 before the first edit.
    :param plans: workspace name to entry.
    :param allowances: plan name to entry.
    """

    revision: int = 0
    plans: Mapping[str, WorkspacePlan] = attrs.field(factory=dict)
    allowances: Mapping[str, Allowance] = attrs.field(factory=dict)
    _workspaces: dict[str, str] = attrs.field(init=False, eq=False, repr=False)

    @_workspaces.default
    def _index_keys(self) -> dict[str, str]:
        return {digest: name for name, plan in self.plans.items() for digest in plan.keys}

    def apply(self, change: ListChange) -> Result[Lists, MissingChanges]:
        """Return the lists after a change; a change that is already included has no effect.

        :param change: the change.
        :returns: the lists, or the gap if changes before it are missing.
        """
        if change.revision <= self.revision:
            return Ok(self)
        if change.revision > self.revision + 1:
            return Err(
                MissingChanges(current_revision=self.revision, received_revision=change.revision)
            )
        plans, allowances = dict(self.plans), dict(self.allowances)
        for key in change.removed:
            entries: dict[str, Any] = plans if key.kind is ListKind.PLANS else allowances
            entries.pop(key.name, None)
        for entry in change.changed:
            if isinstance(entry, WorkspacePlan):
                plans[entry.name] = entry
            else:
                allowances[entry.name] = entry
        return Ok(Lists(revision=change.revision, plans=plans, allowances=allowances))

    def get_entries(self, kind: ListKind) -> Mapping[str, ListEntry]:
        """Return one of the two lists.

        :param kind: which list.
        """
        return self.plans if kind is ListKind.PLANS else self.allowances

    def replace(self, kind: ListKind, entries: Iterable[ListEntry]) -> Lists:
        """Return the lists with one of them replaced, at the same revision.

        :param kind: which list.
        :param entries: its new entries.
        """
        by_name: dict[str, Any] = {entry.name: entry for entry in entries}
        if kind is ListKind.PLANS:
            return attrs.evolve(self, plans=by_name)
        return attrs.evolve(self, allowances=by_name)

    def find_workspace(self, bearer_key: str) -> Result[str, Failure]:
        """Return the workspace to which a bearer key belongs, or a 401 failure.

        :param bearer_key: the caller's key.
        """
        workspace = self._workspaces.get(compute_key_digest(bearer_key))
        if workspace is not None:
            return Ok(workspace)
        return Err(
            Failure(
                status=401,
                code="invalid_api_key",
                message="The bearer key belongs to no workspace.",
                run_state=RunState.NOT_RUN,
            )
        )

    def find_allowance(self, workspace: str) -> Allowance | None:
        """Return a workspace's allowance, ``None`` if it has no plan.

        :param workspace: name of the workspace.
        """
        plan = self.plans.get(workspace)
        return None if plan is None else self.allowances.get(plan.plan)
