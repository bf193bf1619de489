"""Commands that set or remove one entry of a list."""

from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.list_client import ListClient
from gypsumpost_cli.list_commands import open_list, report_accepted
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_entry import ListEntry
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.workspace_plan import WorkspacePlan, compute_key_digest

MIN_DIGEST_DIGITS = 8
"""An empty or very short prefix would remove keys that the operator did not intend to remove."""


@COMMANDS.register("edit", group=ListKind.PLANS.value)
def edit_plan(
    workspace: str,
    *,
    plan: str | None = None,
    add_key_file: Path | None = None,
    remove_key: list[str] | None = None,
    remove: bool = False,
    wait: bool = False,
    admin_address: str | None = None,
    admin_key_file: str | None = None,
) -> Result[str, CommandFailure]:
    """Set or remove one workspace.

    :param workspace: name of the workspace
    :param plan: name of its plan
    :param add_key_file: file with a new bearer key; only its digest is sent
    :param remove_key: digests of keys to remove, or their first digits
    :param remove: remove the workspace
    :param wait: wait until all live hosts have the change in force, and list them
    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    if any(len(prefix) < MIN_DIGEST_DIGITS for prefix in remove_key or ()):
        message = f"--remove-key: give at least {MIN_DIGEST_DIGITS} digits of each digest"
        return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
    added: tuple[str, ...] = ()
    if add_key_file is not None:
        try:
            added = (compute_key_digest(add_key_file.read_text().strip()),)
        except (OSError, UnicodeDecodeError) as error:
            message = f"--add-key-file: {add_key_file} cannot be read: {error}"
            return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))

    def change(entry: ListEntry | None) -> Result[ListEntry, str]:
        keys = entry.keys if isinstance(entry, WorkspacePlan) else ()
        kept = [k for k in keys if not k.startswith(tuple(remove_key or ())) and k not in added]
        plan_name = plan or (entry.plan if isinstance(entry, WorkspacePlan) else "")
        if not plan_name:
            return Err("--plan: required for a new workspace")
        return Ok(WorkspacePlan(name=workspace, plan=plan_name, keys=(*kept, *added)))

    opened = open_list(ListKind.PLANS, admin_address, admin_key_file)
    return opened.and_then(lambda client: _edit(client, workspace, change, remove, wait))


@COMMANDS.register("edit", group=ListKind.ALLOWANCES.value)
def edit_allowance(
    plan: str,
    *,
    models: list[str] | None = None,
    services: list[str] | None = None,
    requests_per_second: float | None = None,
    tokens_per_second: float | None = None,
    concurrent_generations: int | None = None,
    priority: int | None = None,
    deadline_seconds: float | None = None,
    remove: bool = False,
    wait: bool = False,
    admin_address: str | None = None,
    admin_key_file: str | None = None,
) -> Result[str, CommandFailure]:
    """Set or remove what one plan may use.

    :param plan: name of the plan
    :param models: names of the models
    :param services: names of the plain services
    :param requests_per_second: accepted requests per second
    :param tokens_per_second: generated tokens per second
    :param concurrent_generations: generations that may run at the same time
    :param priority: higher goes first
    :param deadline_seconds: longest time in seconds that a request may take
    :param remove: remove the plan
    :param wait: wait until all live hosts have the change in force, and list them
    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    flags: dict[str, Any] = {
        "models": tuple(models) if models else None,
        "services": tuple(services) if services else None,
        "requests_per_second": requests_per_second,
        "tokens_per_second": tokens_per_second,
        "concurrent_generations": concurrent_generations,
        "priority": priority,
        "deadline_seconds": deadline_seconds,
    }
    changes = {name: value for name, value in flags.items() if value is not None}

    def change(entry: ListEntry | None) -> Result[ListEntry, str]:
        if isinstance(entry, Allowance):
            return Ok(attrs.evolve(entry, **changes))
        try:
            return Ok(Allowance(name=plan, **changes))
        except TypeError as error:
            return Err(f"a new plan needs more flags: {error}")

    opened = open_list(ListKind.ALLOWANCES, admin_address, admin_key_file)
    return opened.and_then(lambda client: _edit(client, plan, change, remove, wait))


def _edit(
    client: ListClient, name: str, change: Any, remove: bool, wait: bool
) -> Result[str, CommandFailure]:
    read = client.read_entries()
    if isinstance(read, Err):
        return read
    revision, entries = read.ok_value
    if remove and name not in entries:
        message = f"there is no entry {name}"
        return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
    changed = Ok(None) if remove else change(entries.get(name))
    if isinstance(changed, Err):
        return Err(CommandFailure(message=changed.err_value, exit_code=EXIT_REFUSED))
    outcome = client.set_entry(name, changed.ok_value, entries, revision)
    return report_accepted(client, outcome, wait)
