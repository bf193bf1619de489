"""Counts the endpoints that crashed under each request."""

import attrs

from gypsumpost_core.gateway.crash_report import CrashReport

REFUSED_CRASHES = 3
"""A request that was running at this many crashes is not run again."""

REMEMBER_SECONDS = 120.0
REPORT_SECONDS = 1.5
"""How long a new report is repeated to the peers, as datagrams are lost."""


@attrs.define(kw_only=True)
class CrashRegister:
    """Remembers crashes of this host and of its peers for a while."""

    _crashes: dict[bytes, dict[tuple[str, int], float]] = attrs.field(factory=dict, init=False)
    _reports: dict[CrashReport, float] = attrs.field(factory=dict, init=False)

    def add(self, report: CrashReport, now: float) -> bool:
        """Take in a crash, of which the peers are told, and return true if it is news.

        :param report: the crash.
        :param now: process time in seconds.
        """
        starts = self._crashes.setdefault(report.fingerprint, {})
        key = (report.endpoint_id, report.started_at)
        news = key not in starts
        if news:
            starts[key] = now
            self._reports[report] = now + REPORT_SECONDS
        return news

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return true if a request has crashed too many endpoints.

        :param fingerprint: digest of the request.
        :param now: process time in seconds.
        """
        self._forget(now)
        return len(self._crashes.get(fingerprint, ())) >= REFUSED_CRASHES

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes that the peers are to be told of.

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
