"""Limits of the gateway's callers, from the configuration and from what the host has."""

from gypsumpost_core.gateway.caller_limits import CallerLimits
from gypsumpost_core.memory.host_bounds import (
    MEGABYTE,
    compute_held_bytes,
    compute_max_connections,
)
from gypsumpost_core.memory.memory_account import MemoryAccount
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.telemetry.metrics import Metrics

IDLE_MARGIN_SECONDS = 0.5
"""Idle connections are closed this long after the limit, so that a request sent just before the
limit does not reach a closed connection."""


class GatewayLimits:
    """Keeps the limits of the callers' listener and the bound on memory up to date.

    :param settings: settings of the host.
    :param metrics: metrics of the process.
    """

    def __init__(self, *, settings: GatewaySettings, metrics: Metrics) -> None:
        self.http = HttpLimits(max_body=CallerLimits().max_body)
        self.guard = OverloadGuard(account=MemoryAccount(bound=0), metrics=metrics)
        self.apply_settings(settings)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Bound connections and memory by what the host has.

        :param settings: settings of the host.
        """
        connections = compute_max_connections(settings.max_descriptors)
        self.http.max_connections = connections
        memory_bytes = int(settings.memory_mb * MEGABYTE)
        self.guard.account.bound = compute_held_bytes(memory_bytes, connections)

    async def follow(self, directory: Directory) -> None:
        """Apply the limits of each configuration, until cancelled.

        :param directory: the configuration in force.
        """
        while True:
            routes = directory.routes
            if routes is not None:
                limits = routes.configuration.limits
                self.http.max_body = limits.max_body
                self.http.max_head = limits.max_head
                self.http.head_seconds = limits.head_seconds
                self.http.idle_seconds = limits.idle_seconds + IDLE_MARGIN_SECONDS
            await directory.wait_change(float("inf"))
