"""Runs a gateway process."""

import importlib
import os
import sys

import trio
from result import Err

from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.gateway_daemon import GatewayDaemon
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.log import Log, start_logging

SETTINGS_STATUS = 2

LOG = Log(prefix="gateway")


def run_gateway(adapter_name: str) -> int:
    """Read the settings through an adapter and serve until a planned stop.

    :param adapter_name: module with a function ``create_adapter`` that takes the environment.
    :returns: exit status.
    """
    adapter: GatewayAdapter = importlib.import_module(adapter_name).create_adapter(os.environ)
    settings = adapter.read_settings()
    if isinstance(settings, Err):
        for message in settings.err_value:
            print(f"gypsumpostd: {message}", file=sys.stderr)
        return SETTINGS_STATUS
    start_logging(settings.ok_value.host_id, "-")
    trio.run(serve_gateway, settings.ok_value, adapter)
    return 0


async def serve_gateway(settings: GatewaySettings, adapter: GatewayAdapter) -> None:
    """Serve until a planned stop.

    :param settings: checked settings.
    :param adapter: names, formats and calls of the platform.
    """
    await GatewayDaemon(settings=settings, adapter=adapter).run()
