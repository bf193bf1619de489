"""Differences between the entries of two versions."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from gypsumpost_core.checks.difference import Difference


def index_by_name(entries: Iterable[Any]) -> dict[str, Any]:
    """Return entries by their names; of several with one name, the last.

    :param entries: the entries.
    """
    return {entry.name: entry for entry in entries}


def compare_names(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any], begun: str, ended: str
) -> list[Difference]:
    """Return the entries that are in one version only.

    :param kind: what the entries are, for example ``route``.
    :param old: the entries in force.
    :param new: the new entries.
    :param begun: effect of a new entry.
    :param ended: effect of an entry that is gone.
    """
    added = [
        Difference(subject=f"{kind} {name}", change="is new", effect=begun)
        for name in new
        if name not in old
    ]
    removed = [
        Difference(subject=f"{kind} {name}", change="is gone", effect=ended)
        for name in old
        if name not in new
    ]
    return added + removed


def compare_fields(
    subject: str, old: Any, new: Any, effects: Mapping[str, str], usual_effect: str
) -> list[Difference]:
    """Return the fields in which two entries of one class differ.

    :param subject: the entry.
    :param old: the entry in force.
    :param new: the new entry.
    :param effects: effects of fields.
    :param usual_effect: effect of the other fields.
    """
    return [
        Difference(
            subject=subject,
            change=f"{field.name} changes from {_show(old, field)} to {_show(new, field)}",
            effect=effects.get(field.name, usual_effect),
        )
        for field in attrs.fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def sort_differences(found: Iterable[Difference]) -> list[Difference]:
    """Return differences by entry.

    :param found: the differences.
    """
    return sorted(found, key=lambda difference: (difference.subject, difference.change))


def _show(entry: Any, field: attrs.Attribute) -> str:
    value = getattr(entry, field.name)
    return str(value.value) if hasattr(value, "value") else repr(value)
