"""Calls to the administration interface of a daemon."""

import os
from pathlib import Path
from typing import Any

import httpcore
import orjson
from result import Err, Ok, Result

from gypsumpost_cli.admin_reply import AdminReply
from gypsumpost_cli.command_failure import EXIT_UNKNOWN, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.settings import Settings
from gypsumpost_core.settings.settings_reader import read_settings

CALL_TIMEOUT_SECONDS = 15.0
"""Longer than the daemon's timeout for the store, so that its reply states the outcome."""


class AdminClient:
    """Client of one daemon, authorized with the operators' key.

    :param address: ``ip:port`` of the daemon's listener for operators.
    :param key: the operators' key.
    """

    def __init__(self, *, address: str, key: str) -> None:
        self._address = address
        self._key = key

    def call(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Result[AdminReply, CommandFailure]:
        """Send a request and return the reply, whatever its status.

        :param method: HTTP method.
        :param path: path below ``/admin/v1/``, with the query.
        :param body: body of the request.
        :param headers: further headers, with underscores in place of hyphens.
        """
        request_headers: Any = {"authorization": f"Bearer {self._key}"}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_SECONDS)
        url = f"http://{self._address}/admin/v1/{path}"
        try:
            response = httpcore.request(
                method, url, headers=request_headers, content=body, extensions={"timeout": timeouts}
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            message = f"no daemon answers at {self._address}: {error}"
            return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            message = f"the connection to {self._address} was lost: {error}"
            code = EXIT_UNREACHABLE if method == "GET" else EXIT_UNKNOWN
            return Err(CommandFailure(message=message, exit_code=code))
        reply_headers = {name.decode().lower(): value.decode() for name, value in response.headers}
        return Ok(AdminReply(status=response.status, headers=reply_headers, body=response.content))

    def read(self, path: str) -> Result[AdminReply, CommandFailure]:
        """Send a GET request; a status other than 200 is returned as a failure of the command.

        :param path: path below ``/admin/v1/``, with the query.
        """
        result = self.call("GET", path)
        if isinstance(result, Err) or result.ok_value.status == 200:
            return result
        return Err(result.ok_value.describe_failure())

    def read_json(self, path: str) -> Result[Any, CommandFailure]:
        """Send a GET request and return the decoded JSON body of its reply.

        :param path: path below ``/admin/v1/``, with the query.
        """
        return self.read(path).map(lambda reply: orjson.loads(reply.body))


def open_client(
    admin_address: str | None, admin_key_file: str | None
) -> Result[AdminClient, CommandFailure]:
    """Create a client from flags, environment variables and defaults.

    :param admin_address: value of the flag, ``None`` if it is not set.
    :param admin_key_file: value of the flag, ``None`` if it is not set.
    """
    flags = {"admin_address": admin_address, "admin_key_file": admin_key_file}
    settings = read_settings(Settings, flags, os.environ)
    if isinstance(settings, Err):
        return Err(CommandFailure(message="\n".join(settings.err_value), exit_code=2))
    path = Path(settings.ok_value.admin_key_file)
    try:
        key = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"--admin-key-file: {path} cannot be read: {error}"
        return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
    return Ok(AdminClient(address=settings.ok_value.admin_address, key=key))
