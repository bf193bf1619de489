"""Detects requests, and parts of prompts, that crash the endpoints that run them."""

from collections.abc import Callable

import trio

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.run_progress import RunProgress
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_daemon.crashes.crash_causes import CrashCauses
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="crash")


class CrashGuard:
    """Collects the evidence of this host, and exchanges it with the peers.

    :param fleet: the endpoints and their losses.
    :param metrics: counters of the gateway.
    :param is_responsible: returns true if this host, of all live ones, decides about a cause.
    """

    def __init__(
        self,
        *,
        fleet: EndpointFleet,
        metrics: GatewayMetrics,
        is_responsible: Callable[[CrashKey], bool],
    ) -> None:
        self._fleet = fleet
        self._causes = CrashCauses(is_responsible=is_responsible)
        self._register = self._causes.register
        self._metrics = metrics
        self._listeners: list[Callable[[], None]] = []
        self._forward_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when this host has new evidence."""
        self._listeners.append(listener)

    def add_forward_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when a peer has sent new evidence."""
        self._forward_listeners.append(listener)

    def count_causes(self) -> int:
        """Return the number of requests and parts that are refused."""
        return len(self._causes)

    def find_cause(self, call: CallerCall) -> Blame | None:
        """Return why a request must not run, ``None`` if it may.

        :param call: the request.
        """
        now = trio.current_time()
        return self._causes.find(call.suspect, call.request_id, now, call.deadline)

    def record_loss(self, record: EndpointRecord) -> None:
        """Record that an endpoint was lost, whether or not it had requests of this host.

        :param record: the endpoint.
        """
        self._register.add_loss(identify(record), record.failure_domain, trio.current_time())

    def record_crash(self, call: CallerCall, record: EndpointRecord, progress: RunProgress) -> None:
        """Record that an endpoint was lost while it had a request.

        This counts against the request if the endpoint has crashed, and not long after it had begun
        to write. One that can no longer be reached says nothing about its requests.

        :param call: the request.
        :param record: the endpoint.
        :param progress: how far the request had come.
        """
        crashed = self._fleet.has_crashed(record)
        counts = crashed and not progress.survived
        self._metrics.count_crash_suspect(progress.stage, counts=counts)
        LOG.write(
            "an endpoint was lost while it had a request",
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            parts=[part.hex() for part in call.shared_parts],
            endpoint=record.endpoint_id,
            crashed=crashed,
            stage=progress.stage,
            sent_seconds=round(progress.sent_seconds, 3),
            written_seconds=progress.written_seconds and round(progress.written_seconds, 3),
            counts=counts,
        )
        if not counts:
            return
        report = CrashReport(
            suspect=call.suspect, process=identify(record), failure_domain=record.failure_domain
        )
        if self._register.add(report, trio.current_time()):
            notify(self._listeners)

    def record_survival(self, call: CallerCall) -> None:
        """Record that an endpoint has run a request for longer than a crash-causing one lasts.

        :param call: the request.
        """
        if self._register.add_survival(call.suspect, trio.current_time()):
            notify(self._listeners)

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to report to the peers.

        :param now: monotonic time in seconds.
        """
        self._causes.review(now)
        return self._register.list_reports(now)

    def list_survivals(self, now: float) -> tuple[SurvivalReport, ...]:
        """Return the survivals to report to the peers.

        :param now: monotonic time in seconds.
        """
        return self._register.list_survivals(now)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Record a crash that a peer reports; a new one is reported to the other peers as well."""
        if self._register.add(report, now):
            notify(self._forward_listeners)

    def add_survival(self, report: SurvivalReport, now: float) -> None:
        """Record survivals that a peer reports; new ones are reported to the other peers as well"""
        if self._register.merge_survival(report, now):
            notify(self._forward_listeners)


def notify(listeners: list[Callable[[], None]]) -> None:
    """Call each of the listeners."""
    for listener in listeners:
        listener()


def identify(record: EndpointRecord) -> EndpointStart:
    """Return the process of an endpoint.

    :param record: the endpoint.
    """
    return EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
