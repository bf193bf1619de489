"""The command that shows the state of a deployment."""

from result import Err, Ok, Result

from gypsumpost_cli.admin_client import open_client
from gypsumpost_cli.command_failure import CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.status_text import format_status


@COMMANDS.register("status")
def show_status(
    *, admin_address: str | None = None, admin_key_file: str | None = None
) -> Result[str, CommandFailure]:
    """Print hosts, failure domains, endpoints, revisions, and what is cut off or leaving.

    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    opened = open_client(admin_address, admin_key_file)
    if isinstance(opened, Err):
        return opened
    contents = []
    for path in ("status", "hosts", "endpoints"):
        read = opened.ok_value.read_json(path)
        if isinstance(read, Err):
            return read
        contents.append(read.ok_value)
    status, hosts, endpoints = contents
    return Ok(format_status(status, hosts, endpoints["endpoints"]))
