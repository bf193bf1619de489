"""Counts endpoint crashes for each request, to refuse requests that crash endpoints."""

import attrs

from gypsumpost_core.gateway.crash_report import CrashReport

REFUSED_CRASHES = 3
"""Number of endpoint crashes after which a request that was running each time is refused."""

CRASH_EXPIRY_SECONDS = 120.0
"""Time until a crash no longer counts."""

RESEND_SECONDS = 1.5
"""Time during which a new crash is sent to the peers repeatedly, because datagrams can be lost."""


@attrs.define(kw_only=True)
class CrashRegister:
    """Keeps the crashes seen by this host and its peers for ``CRASH_EXPIRY_SECONDS``."""

    _crashes: dict[bytes, dict[tuple[str, int], float]] = attrs.field(factory=dict, init=False)
    _reports: dict[CrashReport, float] = attrs.field(factory=dict, init=False)

    def add(self, report: CrashReport, now: float) -> bool:
        """Add a crash and schedule it to be sent to the peers.

        :param report: the crash.
        :param now: monotonic time in seconds.
        :returns: true if the crash was not known before.
        """
        crash_times = self._crashes.setdefault(report.fingerprint, {})
        key = (report.endpoint_id, report.started_at)
        is_new = key not in crash_times
        if is_new:
            crash_times[key] = now
            self._reports[report] = now + RESEND_SECONDS
        return is_new

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return true if a request was running at ``REFUSED_CRASHES`` recent crashes.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        self._drop_expired(now)
        return len(self._crashes.get(fingerprint, ())) >= REFUSED_CRASHES

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to send to the peers.

        :param now: monotonic time in seconds.
        """
        self._drop_expired(now)
        self._reports = {
            report: resend_until
            for report, resend_until in self._reports.items()
            if resend_until > now
        }
        return tuple(self._reports)

    def _drop_expired(self, now: float) -> None:
        oldest = now - CRASH_EXPIRY_SECONDS
        for fingerprint, crash_times in list(self._crashes.items()):
            for key in [key for key, crashed_at in crash_times.items() if crashed_at < oldest]:
                del crash_times[key]
            if not crash_times:
                del self._crashes[fingerprint]
