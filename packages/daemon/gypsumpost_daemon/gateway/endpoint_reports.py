"""What hosts tell each other of lost endpoints."""

from collections.abc import Callable

import trio

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor

REPORT_SECONDS = 1.0
"""How long a loss or a return is repeated, as datagrams are lost."""

ALIVE_SECONDS = 0.25
"""A sign of life this fresh speaks against a loss that a peer reports."""


class EndpointReports:
    """Repeats the losses and returns that this host finds, and has those of peers checked.

    A peer's report is a reason to probe, as the peer may be cut off from the endpoint. A host that
    confirms a report passes it on.

    :param directory: the endpoints.
    :param monitor: probes endpoints.
    """

    def __init__(self, *, directory: Directory, monitor: EndpointMonitor) -> None:
        self._directory = directory
        self._monitor = monitor
        self._losses: dict[EndpointStart, float] = {}
        self._returns: dict[EndpointStart, float] = {}
        self._listeners: list[Callable[[], None]] = []
        monitor.listen_losses(lambda record: self._note(record, self._losses, self._returns))
        monitor.listen_returns(lambda record: self._note(record, self._returns, self._losses))

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when there is something to report."""
        self._listeners.append(listener)

    def list_losses(self, now: float) -> tuple[EndpointStart, ...]:
        """Return the losses that peers are to be told of.

        :param now: process time in seconds.
        """
        return tuple(start for start, until in self._losses.items() if until > now)

    def list_returns(self, now: float) -> tuple[EndpointStart, ...]:
        """Return the returns that peers are to be told of.

        :param now: process time in seconds.
        """
        return tuple(start for start, until in self._returns.items() if until > now)

    def take_beacon(self, beacon: Beacon, now: float) -> None:
        """Check what a peer has found.

        :param beacon: what the peer says.
        :param now: process time in seconds.
        """
        fleet = self._directory.fleet
        for start in beacon.losses:
            state = fleet.find(start.endpoint_id)
            if state is None or state.lost or state.record.started_at != start.started_at:
                continue
            if state.alive_at < now - ALIVE_SECONDS:
                fleet.mark_domain_suspect(state.record, now)
                self._monitor.suspect(state.record, f"lost at {beacon.host.host_id}")
        for start in beacon.returns:
            state = fleet.find(start.endpoint_id)
            if state is not None and state.lost and state.record.started_at == start.started_at:
                self._monitor.expect_return(state.record)

    def _note(
        self,
        record: EndpointRecord,
        found: dict[EndpointStart, float],
        opposite: dict[EndpointStart, float],
    ) -> None:
        now = trio.current_time()
        for reports in (found, opposite):
            for start in [start for start, until in reports.items() if until <= now]:
                del reports[start]
        start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
        opposite.pop(start, None)
        found[start] = now + REPORT_SECONDS
        for listener in self._listeners:
            listener()
