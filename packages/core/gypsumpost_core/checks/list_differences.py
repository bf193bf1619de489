"""Differences between two versions of a list, with their effects."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.checks.difference import Difference
from gypsumpost_core.checks.entry_difference import (
    compare_fields,
    compare_names,
    sort_differences,
)
from gypsumpost_core.checks.key_difference import compare_owners, index_owners
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan

PLAN_EFFECTS = {"plan": "the limits of the new plan hold for new requests"}
ALLOWANCE_EFFECT = "holds for new requests of all workspaces with this plan"


def compare_lists(before: Lists, after: Lists) -> tuple[Difference, ...]:
    """Return how two versions of the lists differ.

    :param before: the version in force.
    :param after: the new version.
    """
    old, new = before.plans, after.plans
    found = compare_names("workspace", old, new, "may have keys", "no request belongs to it")
    found += compare_owners(_index_keys(old), _index_keys(new))
    for name in old.keys() & new.keys():
        same_keys = attrs.evolve(old[name], keys=new[name].keys)
        found += compare_fields(f"workspace {name}", same_keys, new[name], PLAN_EFFECTS, "")
    found += compare_names(
        "allowance",
        before.allowances,
        after.allowances,
        "workspaces may have this plan",
        "no workspace may have this plan",
    )
    for name in before.allowances.keys() & after.allowances.keys():
        former, allowance = before.allowances[name], after.allowances[name]
        found += compare_fields(f"allowance {name}", former, allowance, {}, ALLOWANCE_EFFECT)
    return tuple(sort_differences(found))


def _index_keys(plans: Mapping[str, WorkspacePlan]) -> dict[str, str]:
    return index_owners({name: plan.keys for name, plan in plans.items()})
