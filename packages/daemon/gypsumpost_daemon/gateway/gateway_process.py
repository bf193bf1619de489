"""Runs a gateway process."""

import importlib
import os
import sys

import trio
from result import Err

from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.gateway_daemon import GatewayDaemon
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.telemetry.log import start_bounded_logging
from gypsumpost_daemon.telemetry.metrics import Metrics

SETTINGS_STATUS = 2
LOG_LINES_PER_SECOND = 300
"""Without a failure, a stream writes two lines and a call one."""


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
    limiter, pipe = start_bounded_logging(settings.ok_value.host_id, LOG_LINES_PER_SECOND)
    metrics = Metrics()
    metrics.add_gauge(
        "gypsumpost_log_lines_left_out",
        "Log lines that were over the budget or that nobody read.",
        lambda: limiter.suppressed + pipe.dropped,
    )
    trio.run(serve_gateway, settings.ok_value, adapter, metrics)
    return 0


async def serve_gateway(
    settings: GatewaySettings, adapter: GatewayAdapter, metrics: Metrics
) -> None:
    """Serve until a planned stop.

    :param settings: checked settings.
    :param adapter: names, formats and calls of the platform.
    :param metrics: metrics of the process.
    """
    await GatewayDaemon(settings=settings, adapter=adapter, metrics=metrics).run()
