"""Commands of the lists of plans and allowances."""

import os
import time
from pathlib import Path

from result import Err, Ok, Result

from gypsumpost_cli.admin_client import open_client
from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.list_client import ListClient
from gypsumpost_cli.settings import Settings
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.settings.settings_reader import read_settings


def open_list(
    kind: ListKind, admin_address: str | None, admin_key_file: str | None
) -> Result[ListClient, CommandFailure]:
    """Create a client of one list.

    :param kind: which list.
    :param admin_address: value of the flag, ``None`` if it is not set.
    :param admin_key_file: value of the flag, ``None`` if it is not set.
    """
    opened = open_client(admin_address, admin_key_file)
    return opened.map(lambda client: ListClient(client=client, kind=kind))


def report_accepted(
    client: ListClient, changed: Result[int, CommandFailure], wait: bool
) -> Result[str, CommandFailure]:
    """Return the text to print after an edit.

    :param client: client of the list.
    :param changed: the new revision, or the failure of the edit.
    :param wait: whether to wait until all live hosts have applied the revision.
    """
    if isinstance(changed, Err):
        return changed
    accepted = f"accepted as revision {changed.ok_value}"
    if not wait:
        return Ok(accepted)
    settings = read_settings(Settings, {}, os.environ)
    if isinstance(settings, Err):
        return Err(CommandFailure(message="\n".join(settings.err_value), exit_code=EXIT_REFUSED))
    waited = client.wait(changed.ok_value, settings.ok_value.wait_limit)
    if isinstance(waited, Err):
        message = f"{accepted}, but {waited.err_value.message}"
        return Err(CommandFailure(message=message, exit_code=waited.err_value.exit_code))
    return Ok(f"{accepted}\n{waited.ok_value}")


def register_list_commands(kind: ListKind) -> None:
    """Register the commands of one list.

    :param kind: which list.
    """

    @COMMANDS.register("show", group=kind.value)
    def show(
        *, admin_address: str | None = None, admin_key_file: str | None = None
    ) -> Result[str, CommandFailure]:
        """Print the list as a TOML file that apply accepts.

        :param admin_address: ip:port of the operators' listener of any daemon
        :param admin_key_file: file with the operators' key
        """
        return open_list(kind, admin_address, admin_key_file).and_then(ListClient.show)

    @COMMANDS.register("apply", group=kind.value)
    def apply(
        file: Path,
        *,
        revision: int | None = None,
        wait: bool = False,
        admin_address: str | None = None,
        admin_key_file: str | None = None,
    ) -> Result[str, CommandFailure]:
        """Replace the list by a TOML file.

        :param file: the file
        :param revision: revision that was edited; the default is the file's line '# revision N'
        :param wait: wait until all live hosts have the change in force, and list them
        :param admin_address: ip:port of the operators' listener of any daemon
        :param admin_key_file: file with the operators' key
        """
        opened = open_list(kind, admin_address, admin_key_file)
        if isinstance(opened, Err):
            return opened
        try:
            text = file.read_text()
        except (OSError, UnicodeDecodeError) as error:
            message = f"{file} cannot be read: {error}"
            return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
        client = opened.ok_value
        return report_accepted(client, client.apply(text, revision), wait)

    @COMMANDS.register("diff", group=kind.value)
    def diff(
        *,
        first: int | None = None,
        last: int | None = None,
        admin_address: str | None = None,
        admin_key_file: str | None = None,
    ) -> Result[str, CommandFailure]:
        """Print what changed between two revisions; the default is the last change.

        :param first: earlier revision
        :param last: later revision
        :param admin_address: ip:port of the operators' listener of any daemon
        :param admin_key_file: file with the operators' key
        """
        bounds = {"from": first, "to": last}
        query = "&".join(f"{name}={value}" for name, value in bounds.items() if value is not None)
        opened = open_client(admin_address, admin_key_file)
        read = opened.and_then(lambda client: client.read(f"{kind.value}/diff?{query}"))
        return read.map(lambda reply: reply.body.decode())

    @COMMANDS.register("history", group=kind.value)
    def history(
        *,
        limit: int = 50,
        admin_address: str | None = None,
        admin_key_file: str | None = None,
    ) -> Result[str, CommandFailure]:
        """Print who changed which entries, newest first.

        :param limit: most revisions to print
        :param admin_address: ip:port of the operators' listener of any daemon
        :param admin_key_file: file with the operators' key
        """
        opened = open_client(admin_address, admin_key_file)
        path = f"{kind.value}/history?limit={limit}"
        read = opened.and_then(lambda client: client.read_json(path))
        return read.map(lambda rows: "\n".join(map(_format_record, rows)))

    @COMMANDS.register("undo", group=kind.value)
    def undo(
        revision: int,
        *,
        wait: bool = False,
        admin_address: str | None = None,
        admin_key_file: str | None = None,
    ) -> Result[str, CommandFailure]:
        """Take back what one revision changed.

        :param revision: the revision, as history prints it
        :param wait: wait until all live hosts have the change in force, and list them
        :param admin_address: ip:port of the operators' listener of any daemon
        :param admin_key_file: file with the operators' key
        """
        opened = open_list(kind, admin_address, admin_key_file)
        return opened.and_then(lambda client: report_accepted(client, client.undo(revision), wait))


def _format_record(row: dict) -> str:
    moment = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(row["time"]))
    return f"{row['revision']}  {moment}  {row['author']}  {', '.join(row['entries'])}"


for _kind in ListKind:
    register_list_commands(_kind)
