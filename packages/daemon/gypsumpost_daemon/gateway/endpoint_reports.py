"""Exchanges reports of lost and returned endpoints between hosts."""

from collections.abc import Callable

import trio

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor

REPORT_SECONDS = 1.0
"""How long a loss or a return is reported repeatedly, because datagrams may be lost."""

RECENTLY_ALIVE_SECONDS = 0.25
"""A loss that a peer reports is ignored if the endpoint has answered within this time."""


class EndpointReports:
    """Reports the losses and returns that this host detects, and verifies those of peers.

    A peer's report only causes a probe, because the peer itself may be cut off from the endpoint. A
    host that confirms a report reports it to its own peers.

    :param directory: the endpoints.
    :param monitor: probes endpoints.
    """

    def __init__(self, *, directory: Directory, monitor: EndpointMonitor) -> None:
        self._directory = directory
        self._monitor = monitor
        self._losses: dict[EndpointStart, float] = {}
        self._returns: dict[EndpointStart, float] = {}
        self._listeners: list[Callable[[], None]] = []
        monitor.add_loss_listener(
            lambda record: self._add_report(record, self._losses, self._returns)
        )
        monitor.add_return_listener(
            lambda record: self._add_report(record, self._returns, self._losses)
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when there is a new report."""
        self._listeners.append(listener)

    def list_losses(self, now: float) -> tuple[EndpointStart, ...]:
        """Return the losses to report to peers.

        :param now: monotonic time in seconds.
        """
        return tuple(start for start, until in self._losses.items() if until > now)

    def list_returns(self, now: float) -> tuple[EndpointStart, ...]:
        """Return the returns to report to peers.

        :param now: monotonic time in seconds.
        """
        return tuple(start for start, until in self._returns.items() if until > now)

    def handle_beacon(self, beacon: Beacon, now: float) -> None:
        """Verify the losses and returns that a peer reports.

        :param beacon: the peer's beacon.
        :param now: monotonic time in seconds.
        """
        fleet = self._directory.fleet
        for start in beacon.losses:
            state = fleet.find(start.endpoint_id)
            if state is None or state.lost or state.record.started_at != start.started_at:
                continue
            if state.alive_at < now - RECENTLY_ALIVE_SECONDS:
                fleet.mark_domain_suspect(state.record, now)
                self._monitor.suspect(state.record, f"lost at {beacon.host.host_id}")
        for start in beacon.returns:
            state = fleet.find(start.endpoint_id)
            if state is not None and state.lost and state.record.started_at == start.started_at:
                self._monitor.probe_in_background(state.record)

    def _add_report(
        self,
        record: EndpointRecord,
        target: dict[EndpointStart, float],
        opposite: dict[EndpointStart, float],
    ) -> None:
        now = trio.current_time()
        for reports in (target, opposite):
            for start in [start for start, until in reports.items() if until <= now]:
                del reports[start]
        start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
        opposite.pop(start, None)
        target[start] = now + REPORT_SECONDS
        for listener in self._listeners:
            listener()
