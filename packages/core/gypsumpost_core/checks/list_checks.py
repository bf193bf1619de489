"""Checks of the operators' two lists."""

import attrs

from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.severity import Severity
from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.list_check import check_lists, check_size
from gypsumpost_core.lists.list_error import ListError
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.registry import Registry


@attrs.frozen(kw_only=True)
class ListsSubject:
    """The list to check and what it is checked against.

    :param lists: the list, and the other one if it is known.
    :param lines: line numbers in the file.
    :param complete: true if the other list is known.
    :param edits: the changes against the version in force; empty if it is not known.
    """

    lists: Lists
    lines: ListLines
    complete: bool
    edits: tuple[EntryEdit, ...] = ()


LIST_CHECKS: Registry[list[Finding]] = Registry(behaviour="check of a list")
"""Functions of a :class:`ListsSubject` that return what they find."""


def check_list(subject: ListsSubject) -> tuple[Finding, ...]:
    """Return what all registered checks find, in the order of their names.

    :param subject: the list.
    """
    return tuple(
        finding
        for name in LIST_CHECKS.names()
        for finding in LIST_CHECKS.create(name, subject=subject)
    )


@LIST_CHECKS.register("refused-entry")
def find_refused_entries(*, subject: ListsSubject) -> list[Finding]:
    """Return the errors for which a daemon refuses the list.

    :param subject: the list.
    """
    errors = check_lists(subject.lists, subject.lines)
    if not subject.complete:
        # Which allowances exist is not known.
        errors = [error for error in errors if not error.field.endswith(".plan")]
    return [_convert("refused-entry", error) for error in errors]


@LIST_CHECKS.register("edit-size")
def find_large_edit(*, subject: ListsSubject) -> list[Finding]:
    """Return a finding if more entries change than one edit may.

    :param subject: the list.
    """
    return [_convert("edit-size", error) for error in check_size(subject.edits)]


@LIST_CHECKS.register("unused-allowance")
def find_unused_allowances(*, subject: ListsSubject) -> list[Finding]:
    """Return the allowances that no workspace has.

    :param subject: the list.
    """
    if not subject.complete:
        return []
    used = {plan.plan for plan in subject.lists.plans.values()}
    return [
        Finding(
            check="unused-allowance",
            subject=f"allowance {name}",
            message="has no effect: no workspace has this plan",
        )
        for name in subject.lists.allowances
        if name not in used
    ]


@LIST_CHECKS.register("empty-allowance")
def find_empty_allowances(*, subject: ListsSubject) -> list[Finding]:
    """Return the allowances that allow neither a model nor a service.

    :param subject: the list.
    """
    return [
        Finding(
            check="empty-allowance",
            subject=f"allowance {name}",
            message="all requests are refused: it names neither models nor services",
        )
        for name, allowance in subject.lists.allowances.items()
        if not allowance.models and not allowance.services
    ]


@LIST_CHECKS.register("workspace-without-keys")
def find_workspaces_without_keys(*, subject: ListsSubject) -> list[Finding]:
    """Return the workspaces that no request can belong to.

    :param subject: the list.
    """
    return [
        Finding(
            check="workspace-without-keys",
            subject=f"workspace {name}",
            message="no request belongs to it: it has no key",
        )
        for name, plan in subject.lists.plans.items()
        if not plan.keys
    ]


def _convert(check: str, error: ListError) -> Finding:
    place = f"line {error.line}" if error.line else "list"
    message = f"{error.field}: {error.message}" if error.field else error.message
    return Finding(check=check, subject=place, message=message, severity=Severity.ERROR)
