"""Commands that show, stop and start endpoints."""

import getpass
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import orjson
from result import Err, Ok, Result

from gypsumpost_cli.admin_client import AdminClient, open_client
from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.endpoint_text import describe_endpoint, format_endpoints

GROUP = "endpoints"
POLL_INTERVAL_SECONDS = 0.5


@COMMANDS.register("list", group=GROUP)
def list_endpoints(
    *, admin_address: str | None = None, admin_key_file: str | None = None
) -> Result[str, CommandFailure]:
    """Print all endpoints; of leaving ones also whether they are empty.

    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    opened = open_client(admin_address, admin_key_file)
    read = opened.and_then(lambda client: client.read_json("endpoints"))
    return read.map(lambda content: format_endpoints(content["endpoints"]))


@COMMANDS.register("stop", group=GROUP)
def stop_endpoint(
    name: str,
    *,
    wait: float = 0.0,
    admin_address: str | None = None,
    admin_key_file: str | None = None,
) -> Result[str, CommandFailure]:
    """Send an endpoint no new work; its requests in flight run to their ends.

    :param name: name of the endpoint
    :param wait: seconds to wait until it is empty
    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    opened = open_client(admin_address, admin_key_file)
    if isinstance(opened, Err):
        return opened
    client = opened.ok_value
    changed = _set_desired(client, name, "stopped")
    if isinstance(changed, Err) or wait <= 0:
        return changed
    waited = _wait_until_empty(client, name, wait)
    return waited.map(lambda text: f"{changed.ok_value}\n{text}")


@COMMANDS.register("start", group=GROUP)
def start_endpoint(
    name: str, *, admin_address: str | None = None, admin_key_file: str | None = None
) -> Result[str, CommandFailure]:
    """Let an endpoint that was stopped receive new work again.

    :param name: name of the endpoint
    :param admin_address: ip:port of the operators' listener of any daemon
    :param admin_key_file: file with the operators' key
    """
    opened = open_client(admin_address, admin_key_file)
    return opened.and_then(lambda client: _set_desired(client, name, "started"))


def _set_desired(client: AdminClient, name: str, desired: str) -> Result[str, CommandFailure]:
    path = f"{GROUP}/{quote(name, safe='')}"
    body = orjson.dumps({"desired": desired})
    result = client.call("PUT", path, body, x_author=getpass.getuser())
    if isinstance(result, Err):
        return result
    if result.ok_value.status != 200:
        return Err(result.ok_value.describe_failure())
    return Ok(f"accepted: {name} is to be {desired}")


def _wait_until_empty(
    client: AdminClient, name: str, seconds: float
) -> Result[str, CommandFailure]:
    deadline = time.monotonic() + seconds
    while True:
        read = client.read_json(GROUP)
        if isinstance(read, Err):
            return read
        row = _find_row(read.ok_value["endpoints"], name)
        if row is None:
            message = f"{name} is no longer listed"
            return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
        if row["leaving"] and row["work"] == 0:
            return Ok(describe_endpoint(row))
        if time.monotonic() >= deadline:
            message = f"not empty yet: {describe_endpoint(row)}"
            return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
        time.sleep(POLL_INTERVAL_SECONDS)


def _find_row(rows: list[Mapping[str, Any]], name: str) -> Mapping[str, Any] | None:
    return next((row for row in rows if row["name"] == name), None)
