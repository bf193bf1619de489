"""File format of a list: a TOML file with one table per entry."""

import json
import re
import tomllib
from collections.abc import Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_entry import ListEntry
from gypsumpost_core.lists.list_error import ListError
from gypsumpost_core.lists.list_field import FIELDS, NAME_TEXT, is_name
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.workspace_plan import WorkspacePlan

SYNTAX_LINE = re.compile(r"at line (\d+)")


def parse_list(kind: ListKind, text: str) -> Result[list[ListEntry], list[ListError]]:
    """Parse a list file.

    :param kind: the list that the file contains.
    :param text: content of the file.
    :returns: the entries, or all errors with their lines and fields.
    """
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Very long numbers and deep nesting raise errors other than TOMLDecodeError.
        return Err([_describe_syntax_error(error, text)])
    lines = ListLines(text=text)
    errors = [e for name, table in tables.items() for e in _check(kind, name, table, lines)]
    if errors:
        return Err(errors)
    return Ok([_create_entry(kind, name, table) for name, table in tables.items()])


def format_list(entries: Iterable[ListEntry]) -> str:
    """Return the content of a list file.

    :param entries: the entries; they are sorted by name.
    """
    ordered = sorted(entries, key=lambda entry: entry.name)
    return "\n".join(format_entry(entry) for entry in ordered)


def format_entry(entry: ListEntry) -> str:
    """Return one entry as a TOML table.

    :param entry: the entry.
    """
    fields = attrs.asdict(entry, filter=lambda field, _: field.name != "name")
    # JSON numbers, strings and arrays of strings are valid TOML.
    rows = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
    return "\n".join([f"[{entry.name}]", *rows, ""])


def _describe_syntax_error(error: Exception, text: str) -> ListError:
    found = SYNTAX_LINE.search(str(error))
    line = int(found[1]) if found else max(1, len(text.splitlines()))
    return ListError(line=line, field="", message=f"not valid TOML: {error}")


def _check(kind: ListKind, name: str, table: Any, lines: ListLines) -> list[ListError]:
    if not is_name(name):
        message = f"the name is not accepted; accepted: {NAME_TEXT}"
        return [ListError(line=lines.find(name), field=name, message=message)]
    if not isinstance(table, dict):
        message = f"a value stands outside of any entry; write it below a header [{kind.value}]"
        return [ListError(line=lines.find(name), field=name, message=message)]
    fields = FIELDS[kind]
    problems = [
        (field, f"unknown field; known: {', '.join(fields)}")
        for field in table
        if field not in fields
    ]
    for field, rule in fields.items():
        if field not in table and rule.required:
            problems.append((field, f"the field is missing; accepted: {rule.accepted}"))
        elif field in table and not rule.accepts(table[field]):
            problems.append((field, f"{table[field]!r} is not accepted; {rule.accepted}"))
    return [
        ListError(line=lines.find(name, field), field=f"{name}.{field}", message=message)
        for field, message in problems
    ]


def _create_entry(kind: ListKind, name: str, table: dict[str, Any]) -> ListEntry:
    values: dict[str, Any] = {
        field: tuple(value) if isinstance(value, list) else value for field, value in table.items()
    }
    if kind is ListKind.PLANS:
        return WorkspacePlan(name=name, **values)
    return Allowance(name=name, **values)
