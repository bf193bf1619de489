"""Finds requests that crash the endpoints that run them."""

import hashlib
from collections.abc import Callable

import trio

from gypsumpost_core.gateway.crash_register import CrashRegister
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.log import Log

LOG = Log(prefix="crash")


class CrashGuard:
    """Keeps the register of crashes and tells the peers of new ones."""

    def __init__(self) -> None:
        self._register = CrashRegister()
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when there is a new report."""
        self._listeners.append(listener)

    def is_refused(self, call: CallerCall) -> bool:
        """Return true if a request has crashed too many endpoints to be run again.

        :param call: the request.
        """
        return self._register.is_refused(fingerprint(call), trio.current_time())

    def note_crash(
        self, call: CallerCall, endpoint_id: str, started_at: int, failure_domain: str
    ) -> None:
        """Note that an endpoint crashed while it ran a request.

        :param call: the request.
        :param endpoint_id: the endpoint.
        :param started_at: Unix milliseconds of its start.
        :param failure_domain: domain of the endpoint.
        """
        report = CrashReport(
            fingerprint=fingerprint(call), endpoint_id=endpoint_id, started_at=started_at
        )
        if self._register.add(report, trio.current_time()):
            LOG.write(
                "a request was running at a crash",
                request=call.request_id,
                endpoint=endpoint_id,
                failure_domain=failure_domain,
            )
            for listener in self._listeners:
                listener()

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes that peers are to be told of."""
        return self._register.list_reports(now)

    def take_report(self, report: CrashReport, now: float) -> None:
        """Take in what a peer found."""
        self._register.add(report, now, own=False)


def fingerprint(call: CallerCall) -> bytes:
    """Return a digest that is the same when a caller sends a request again.

    :param call: the request.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.path, call.workspace):
        digest.update(part.encode("latin-1", "replace") + b"\0")
    digest.update(call.body)
    return digest.digest()
