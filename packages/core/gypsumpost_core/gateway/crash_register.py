"""Counts endpoint crashes for each request, to refuse requests that crash endpoints."""

import attrs

from gypsumpost_core.gateway.crash_report import CrashReport

REFUSED_CRASHES = 3
"""Number of endpoint crashes after which a request that was running each time is refused."""

REMEMBER_SECONDS = 120.0
"""Time until a crash no longer counts."""

REPORT_SECONDS = 1.5
"""Time during which a new crash is sent to the peers repeatedly, because datagrams can be lost."""


@attrs.define(kw_only=True)
class CrashRegister:
    """Keeps the crashes seen by this host and its peers for ``REMEMBER_SECONDS``."""

    _crashes: dict[bytes, dict[tuple[str, int], float]] = attrs.field(factory=dict, init=False)
    _reports: dict[CrashReport, float] = attrs.field(factory=dict, init=False)

    def add(self, report: CrashReport, now: float) -> bool:
        """Add a crash and schedule it to be sent to the peers.

        :param report: the crash.
        :param now: process time in seconds.
        :returns: true if the crash was not known before.
        """
        starts = self._crashes.setdefault(report.fingerprint, {})
        key = (report.endpoint_id, report.started_at)
        news = key not in starts
        if news:
            starts[key] = now
            self._reports[report] = now + REPORT_SECONDS
        return news

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return true if a request was running at ``REFUSED_CRASHES`` recent crashes.

        :param fingerprint: digest of the request.
        :param now: process time in seconds.
        """
        self._forget(now)
        return len(self._crashes.get(fingerprint, ())) >= REFUSED_CRASHES

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to send to the peers.

        :param now: process time in seconds.
        """
        self._forget(now)
        self._reports = {report: until for report, until in self._reports.items() if until > now}
        return tuple(self._reports)

    def _forget(self, now: float) -> None:
        oldest = now - REMEMBER_SECONDS
        for fingerprint, starts in list(self._crashes.items()):
            for key in [key for key, at in starts.items() if at < oldest]:
                del starts[key]
            if not starts:
                del self._crashes[fingerprint]
