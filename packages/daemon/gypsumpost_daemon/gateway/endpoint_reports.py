"""Exchanges reports of lost and returned endpoints between hosts."""

from collections.abc import Callable

import attrs
import trio

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.peer_evidence import PeerEvidence
from gypsumpost_core.gateway.report_verdict import ReportVerdict
from gypsumpost_core.host import Host
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics

REPORT_SECONDS = 1.0
"""How long a loss or a return is reported repeatedly, because datagrams may be lost."""

RECENTLY_ALIVE_SECONDS = 0.25
"""A loss that a peer reports is ignored if the endpoint has answered within this time."""


@attrs.frozen(kw_only=True)
class OwnReport:
    """A loss or a return that this host reports.

    :param until: monotonic time in seconds.
    :param adopted: true if it was adopted from hosts of the own domain, which know it already.
    """

    until: float
    adopted: bool


class EndpointReports:
    """Reports the losses and returns that this host detects, and judges those of peers.

    A peer may itself be cut off from an endpoint. Few hosts of a domain, and those with requests at
    the endpoint, therefore verify a report by a probe and report what they find; the other hosts
    adopt their result. Hosts of the own domain are told only what this host has observed itself,
    other domains also what it has adopted.

    :param own: this host.
    :param directory: the endpoints.
    :param monitor: probes endpoints.
    :param metrics: counters of the gateway.
    :param list_hosts: returns the live hosts of the own domain, this one included.
    """

    def __init__(
        self,
        *,
        own: Host,
        directory: Directory,
        monitor: EndpointMonitor,
        metrics: GatewayMetrics,
        list_hosts: Callable[[], list[Host]],
    ) -> None:
        self._directory = directory
        self._monitor = monitor
        self._metrics = metrics
        self._list_hosts = list_hosts
        self._evidence = PeerEvidence(own=own)
        self._losses: dict[EndpointStart, OwnReport] = {}
        self._returns: dict[EndpointStart, OwnReport] = {}
        self._listeners: list[Callable[[], None]] = []
        self._adopting = False
        monitor.add_loss_listener(
            lambda record: self._add_report(record, self._losses, self._returns)
        )
        monitor.add_return_listener(
            lambda record: self._add_report(record, self._returns, self._losses)
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when there is a new report."""
        self._listeners.append(listener)

    def list_losses(self, now: float, *, of_domain: bool = False) -> tuple[EndpointStart, ...]:
        """Return the losses to report to peers.

        :param now: monotonic time in seconds.
        :param of_domain: true to include those adopted from other hosts of the domain.
        """
        return list_current(self._losses, now, of_domain)

    def list_returns(self, now: float, *, of_domain: bool = False) -> tuple[EndpointStart, ...]:
        """Return the returns to report to peers.

        :param now: monotonic time in seconds.
        :param of_domain: true to include those adopted from other hosts of the domain.
        """
        return list_current(self._returns, now, of_domain)

    def handle_beacon(self, beacon: Beacon, now: float, *, arrived_after: float) -> None:
        """Judge the losses and returns that a peer reports.

        :param beacon: the peer's beacon.
        :param now: monotonic time in seconds.
        :param arrived_after: moment before its arrival, as monotonic time in seconds.
        """
        fleet = self._directory.fleet
        heard = self._evidence.record(
            beacon.host, beacon.losses, beacon.returns, now, covers_domain=beacon.covers_domain
        )
        if not beacon.losses and not beacon.returns:
            return
        hosts = self._list_hosts()
        for start in beacon.losses:
            state = fleet.find(start.endpoint_id)
            if state is None or state.lost or state.record.started_at != start.started_at:
                continue
            if state.alive_at < now - RECENTLY_ALIVE_SECONDS:
                fleet.mark_domain_suspect(state.record, now)
                in_use = self._monitor.is_in_use(state)
                verdict = self._evidence.judge_loss(start, state, hosts, now, in_use=in_use)
                if verdict is ReportVerdict.ADOPT and arrived_after < now - REPORT_SECONDS:
                    # The endpoint may have returned since, and the reports of that have ended.
                    verdict = ReportVerdict.PROBE
                self._apply_loss(state, verdict, beacon.host.host_id)
        for start in beacon.returns:
            state = fleet.find(start.endpoint_id)
            if state is not None and state.lost and state.record.started_at == start.started_at:
                verdict = self._evidence.judge_return(start, state, heard, hosts, now)
                self._apply_return(state, verdict, beacon.host.host_id)

    def _apply_loss(self, state: EndpointState, verdict: ReportVerdict, reporter: str) -> None:
        self._metrics.count_peer_report("loss", verdict.value)
        if verdict is ReportVerdict.PROBE:
            self._monitor.suspect(state.record, f"lost at {reporter}")
        elif verdict is ReportVerdict.ADOPT:
            self._adopting = True
            self._monitor.mark_lost(state.record, f"adopted, lost at {reporter}", adopted=True)
            self._adopting = False

    def _apply_return(self, state: EndpointState, verdict: ReportVerdict, reporter: str) -> None:
        self._metrics.count_peer_report("return", verdict.value)
        if verdict is ReportVerdict.PROBE:
            self._monitor.probe_in_background(state.record)
        elif verdict is ReportVerdict.ADOPT:
            self._adopting = True
            self._monitor.mark_returned(state.record, f"adopted from {reporter}")
            self._adopting = False

    def _add_report(
        self,
        record: EndpointRecord,
        target: dict[EndpointStart, OwnReport],
        opposite: dict[EndpointStart, OwnReport],
    ) -> None:
        now = trio.current_time()
        for reports in (target, opposite):
            for start in [start for start, report in reports.items() if report.until <= now]:
                del reports[start]
        start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
        opposite.pop(start, None)
        target[start] = OwnReport(until=now + REPORT_SECONDS, adopted=self._adopting)
        for listener in self._listeners:
            listener()


def list_current(
    reports: dict[EndpointStart, OwnReport], now: float, of_domain: bool
) -> tuple[EndpointStart, ...]:
    """Return the processes that are to be reported.

    :param reports: the reports by process.
    :param now: monotonic time in seconds.
    :param of_domain: true to include adopted reports.
    """
    return tuple(
        start
        for start, report in reports.items()
        if report.until > now and (of_domain or not report.adopted)
    )
