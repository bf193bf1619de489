"""Differences between two configurations, with their effects."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.checks.difference import Difference
from gypsumpost_core.checks.entry_difference import (
    compare_fields,
    compare_names,
    index_by_name,
    sort_differences,
)
from gypsumpost_core.checks.key_difference import compare_owners, index_owners
from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.service import Service
from gypsumpost_core.gateway.workspace import Workspace
from gypsumpost_core.lists.workspace_plan import compute_key_digest
from gypsumpost_core.registry import Registry

CONFIGURATION_DIFFERENCES: Registry[list[Difference]] = Registry(behaviour="difference")
"""Functions of two configurations that return how they differ."""

UNDER_WAY = "requests under way end as they began"
USUAL_EFFECT = f"holds for new requests; {UNDER_WAY}"


def compare_configurations(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return how two configurations differ, by kind of entry and name.

    :param before: the version in force.
    :param after: the new version.
    """
    return tuple(
        difference
        for name in CONFIGURATION_DIFFERENCES.names()
        for difference in CONFIGURATION_DIFFERENCES.create(name, before=before, after=after)
    )


@CONFIGURATION_DIFFERENCES.register("routes")
def compare_routes(*, before: Configuration, after: Configuration) -> list[Difference]:
    """Return the routes that are new, gone, moved or changed.

    :param before: the version in force.
    :param after: the new version.
    """
    old, new = index_by_name(before.routes), index_by_name(after.routes)
    gone = "requests get 404 or the next shorter prefix"
    found = compare_names("route", old, new, "requests are served", gone)
    for name in old.keys() & new.keys():
        found += _compare_route(old[name], new[name])
    return sort_differences(found)


@CONFIGURATION_DIFFERENCES.register("services")
def compare_services(*, before: Configuration, after: Configuration) -> list[Difference]:
    """Return the services that are new, gone or changed.

    :param before: the version in force.
    :param after: the new version.
    """
    old, new = index_by_name(before.services), index_by_name(after.services)
    effects = ("its endpoints are used", "its endpoints get no new requests")
    found = compare_names("service", old, new, *effects)
    for name in old.keys() & new.keys():
        found += _compare_service(old[name], new[name])
    return sort_differences(found)


@CONFIGURATION_DIFFERENCES.register("workspaces")
def compare_workspaces(*, before: Configuration, after: Configuration) -> list[Difference]:
    """Return the workspaces and keys that are new or end.

    :param before: the version in force.
    :param after: the new version.
    """
    found: list[Difference] = []
    if (before.workspaces is None) != (after.workspaces is None):
        needed = after.workspaces is not None
        change = "keys are needed" if needed else "keys are no longer needed"
        effect = "requests without a key get 401" if needed else "requests of anybody are served"
        found.append(Difference(subject="workspaces", change=change, effect=effect))
    old, new = index_by_name(before.workspaces or ()), index_by_name(after.workspaces or ())
    found += compare_names("workspace", old, new, "may have keys", "no request belongs to it")
    found += compare_owners(_index_keys(old), _index_keys(new))
    for name in old.keys() & new.keys():
        same_keys = attrs.evolve(old[name], keys=new[name].keys)
        subject = f"workspace {name}"
        found += compare_fields(subject, same_keys, new[name], EFFECTS, USUAL_EFFECT)
    return sort_differences(found)


@CONFIGURATION_DIFFERENCES.register("limits")
def compare_limits(*, before: Configuration, after: Configuration) -> list[Difference]:
    """Return the limits on callers that differ.

    :param before: the version in force.
    :param after: the new version.
    """
    return compare_fields("limits", before.limits, after.limits, EFFECTS, USUAL_EFFECT)


def _compare_route(old: Route, new: Route) -> list[Difference]:
    subject = f"route {new.name}"
    found = []
    if old.shares != new.shares:
        change = f"moves from {_describe_shares(old)} to {_describe_shares(new)}"
        effect = f"new requests go to {_describe_shares(new)}; {UNDER_WAY}"
        found.append(Difference(subject=subject, change=change, effect=effect))
    same_shares = attrs.evolve(old, shares=new.shares)
    return found + compare_fields(subject, same_shares, new, EFFECTS, USUAL_EFFECT)


def _compare_service(old: Service, new: Service) -> list[Difference]:
    subject = f"service {new.name}"
    if old.engine is None or new.engine is None:
        return compare_fields(subject, old, new, EFFECTS, USUAL_EFFECT)
    same_engine = attrs.evolve(old, engine=new.engine)
    found = compare_fields(subject, same_engine, new, EFFECTS, USUAL_EFFECT)
    return found + compare_fields(subject, old.engine, new.engine, EFFECTS, USUAL_EFFECT)


def _index_keys(workspaces: Mapping[str, Workspace]) -> dict[str, str]:
    return index_owners(
        {name: map(compute_key_digest, entry.keys) for name, entry in workspaces.items()}
    )


EFFECTS = {
    "host": "requests to the former host get 404",
    "prefix": "requests below the former prefix get 404 or the next shorter prefix",
    "kind": "requests may be repeated as the new kind allows",
    "public": "the need for a key changes",
    "health_path": "holds for the next health check",
    "idle_seconds": "holds for connections from their next request on",
}
"""Effects of fields for which the usual one does not tell enough."""


def _describe_shares(route: Route) -> str:
    if len(route.shares) == 1:
        return f"service {route.shares[0].service}"
    return ", ".join(f"service {share.service} ({share.weight:g})" for share in route.shares)
