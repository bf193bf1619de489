"""Finds requests that crash the endpoints that run them."""

from collections.abc import Callable

import trio

from gypsumpost_core.gateway.crash_register import CrashRegister
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.telemetry.log import Log

SETTLE_SECONDS = 0.3
"""The losses of one cause are all known after this time."""

LOG = Log(prefix="crash")


class CrashGuard:
    """Keeps the register of crashes and tells the peers of new ones.

    :param fleet: the endpoints and their losses.
    """

    def __init__(self, *, fleet: EndpointFleet) -> None:
        self._fleet = fleet
        self._register = CrashRegister()
        self._listeners: list[Callable[[], None]] = []
        self._suspected: list[tuple[float, CrashReport, EndpointRecord]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when there is a new report."""
        self._listeners.append(listener)

    def is_refused(self, call: CallerCall) -> bool:
        """Return true if a request has crashed too many endpoints to be run again.

        :param call: the request.
        """
        now = trio.current_time()
        self._settle(now)
        return self._register.is_refused(call.fingerprint, now)

    def note_crash(self, call: CallerCall, record: EndpointRecord) -> None:
        """Note that an endpoint was lost while it ran a request.

        Whether other endpoints of the domain were lost with it, which accuses no request, is known
        a little later.

        :param call: the request.
        :param record: the endpoint.
        """
        report = CrashReport(
            fingerprint=call.fingerprint,
            endpoint_id=record.endpoint_id,
            started_at=record.started_at,
        )
        self._suspected.append((trio.current_time(), report, record))
        self._note_change()

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes that peers are to be told of.

        :param now: process time in seconds.
        """
        self._settle(now)
        return self._register.list_reports(now)

    def take_report(self, report: CrashReport, now: float) -> None:
        """Take in what a peer found, and pass it on once if it is news."""
        if self._register.add(report, now):
            self._note_change()

    def _note_change(self) -> None:
        for listener in self._listeners:
            listener()

    def _settle(self, now: float) -> None:
        due = [entry for entry in self._suspected if entry[0] + SETTLE_SECONDS <= now]
        self._suspected = [entry for entry in self._suspected if entry[0] + SETTLE_SECONDS > now]
        for lost_at, report, record in due:
            if self._fleet.is_correlated_loss(record, lost_at):
                continue
            if self._register.add(report, now):
                LOG.write(
                    "a request was running at a crash",
                    fingerprint=report.fingerprint.hex(),
                    endpoint=report.endpoint_id,
                )
