"""Index of stream copies: which engine holds the copy of each stream."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport

REPORT_EXPIRY_SECONDS = 5.0
"""Time until a peer's report expires; engines keep a copy only a few seconds after its stream."""


@attrs.define(kw_only=True)
class CopyDirectory:
    """Tracks the copies of this host's streams and of streams that peers report.

    When a host fails, its callers retry at other hosts. The new host resumes the stream from the
    copy, which avoids a second prefill of the prompt.
    """

    _own_reports: dict[bytes, CopyReport] = attrs.field(factory=dict, init=False)
    _peer_reports: dict[bytes, tuple[float, CopyReport]] = attrs.field(factory=dict, init=False)

    def put(self, report: CopyReport) -> None:
        """Add or replace the copy of a stream of this host."""
        self._own_reports[report.fingerprint] = report

    def drop(self, fingerprint: bytes) -> None:
        """Remove the copy of a stream of this host that has ended."""
        self._own_reports.pop(fingerprint, None)

    def list_own(self) -> tuple[CopyReport, ...]:
        """Return the copies to report to peers: those of this host's streams."""
        return tuple(self._own_reports.values())

    def put_peer_reports(self, reports: Iterable[CopyReport], now: float) -> None:
        """Add the copies of a peer's streams and remove expired ones.

        :param reports: the copies that the peer reports.
        :param now: monotonic time in seconds.
        """
        for report in reports:
            self._peer_reports[report.fingerprint] = (now + REPORT_EXPIRY_SECONDS, report)
        for key in [key for key, (expires_at, _) in self._peer_reports.items() if expires_at < now]:
            del self._peer_reports[key]

    def find(self, fingerprint: bytes, now: float) -> CopyReport | None:
        """Return the copy of a request that another host served, ``None`` if unknown or expired.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        expires_at, report = self._peer_reports.get(fingerprint, (0.0, None))
        return report if now < expires_at else None
