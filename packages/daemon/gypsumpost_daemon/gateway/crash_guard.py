"""Detects requests that crash the endpoints that run them."""

from collections.abc import Callable

import trio

from gypsumpost_core.gateway.crash_register import CrashRegister
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.crash_suspect import CrashSuspect
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.telemetry.log import Log

ATTRIBUTION_DELAY_SECONDS = 0.3
"""All losses with a common cause are known after this time."""

LOG = Log(prefix="crash")


class CrashGuard:
    """Records crashes by request and reports new ones to the peers.

    :param fleet: the endpoints and their losses.
    :param metrics: counters of the gateway.
    """

    def __init__(self, *, fleet: EndpointFleet, metrics: GatewayMetrics) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._register = CrashRegister()
        self._listeners: list[Callable[[], None]] = []
        self._unattributed: list[tuple[float, CrashReport, CrashSuspect, EndpointRecord]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when there is a new report."""
        self._listeners.append(listener)

    def is_refused(self, call: CallerCall) -> bool:
        """Return true if a request has crashed too many endpoints to be run again.

        :param call: the request.
        """
        now = trio.current_time()
        self._attribute_crashes(now)
        return self._register.is_refused(call.fingerprint, now)

    def record_crash(self, call: CallerCall, record: EndpointRecord, suspect: CrashSuspect) -> None:
        """Record that an endpoint was lost while it ran a request.

        The request is not blamed if other endpoints of the domain were lost at the same time. This
        is known only after ``ATTRIBUTION_DELAY_SECONDS``.

        :param call: the request.
        :param record: the endpoint.
        :param suspect: the request and how far it had come.
        """
        report = CrashReport(
            fingerprint=call.fingerprint,
            endpoint_id=record.endpoint_id,
            started_at=record.started_at,
        )
        self._unattributed.append((trio.current_time(), report, suspect, record))
        self._notify_listeners()

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to report to the peers.

        :param now: monotonic time in seconds.
        """
        self._attribute_crashes(now)
        return self._register.list_reports(now)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Record a crash that a peer reports; a new one is reported to the other peers as well."""
        if self._register.add(report, now):
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _attribute_crashes(self, now: float) -> None:
        due = [entry for entry in self._unattributed if entry[0] + ATTRIBUTION_DELAY_SECONDS <= now]
        self._unattributed = [
            entry for entry in self._unattributed if entry[0] + ATTRIBUTION_DELAY_SECONDS > now
        ]
        for lost_at, report, suspect, record in due:
            excused = self._fleet.is_correlated_loss(record, lost_at)
            self._metrics.count_crash_suspect(suspect.stage, excused=excused)
            LOG.write(
                "a request was running when an endpoint crashed",
                fingerprint=report.fingerprint.hex(),
                parts=[part.hex() for part in suspect.parts],
                endpoint=report.endpoint_id,
                stage=suspect.stage,
                sent_seconds=round(suspect.sent_seconds, 3),
                written_seconds=suspect.written_seconds and round(suspect.written_seconds, 3),
                excused=excused,
            )
            if excused:
                continue
            self._register.add(report, now)
