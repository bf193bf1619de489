"""Index of stream copies: which engine holds the copy of each stream."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.peer_copy import PeerCopy

REPORT_EXPIRY_SECONDS = 5.0
"""Time until a peer's report expires; engines keep a copy only a few seconds after its stream."""


@attrs.define(kw_only=True)
class CopyDirectory:
    """Tracks the copies of this host's streams and of streams that peers report.

    When a host fails, its callers retry at other hosts. The new host resumes the stream from the
    copy, which avoids a second prefill of the prompt. Two callers may send equal requests, so
    each stream has an entry of its own.
    """

    _own_reports: dict[str, CopyReport] = attrs.field(factory=dict, init=False)
    _peer_copies: dict[tuple[str, str], PeerCopy] = attrs.field(factory=dict, init=False)

    def put(self, report: CopyReport) -> None:
        """Add or replace the copy of a stream of this host."""
        self._own_reports[report.request_id] = report

    def drop(self, request_id: str) -> None:
        """Remove the copy of a stream of this host that has ended.

        :param request_id: id of the stream at the engines.
        """
        self._own_reports.pop(request_id, None)

    def is_serving(self, fingerprint: bytes, request_id: str) -> bool:
        """Return true if this host serves a stream that has a copy.

        :param fingerprint: digest of the request.
        :param request_id: id of the stream at the engines.
        """
        report = self._own_reports.get(request_id)
        return report is not None and report.fingerprint == fingerprint

    def list_own(self) -> tuple[CopyReport, ...]:
        """Return the copies to report to peers: those of this host's streams."""
        return tuple(self._own_reports.values())

    def put_peer_reports(self, host_id: str, reports: Iterable[CopyReport], now: float) -> None:
        """Add the copies of a peer's streams and remove expired ones.

        :param host_id: the peer.
        :param reports: the copies that it reports.
        :param now: monotonic time in seconds.
        """
        for report in reports:
            key = (host_id, report.request_id)
            self._peer_copies[key] = PeerCopy(host_id=host_id, report=report, reported_at=now)
        oldest = now - REPORT_EXPIRY_SECONDS
        for key in [key for key, copy in self._peer_copies.items() if copy.reported_at < oldest]:
            del self._peer_copies[key]

    def list_peer_copies(self, fingerprint: bytes, now: float) -> list[PeerCopy]:
        """Return the copies of streams of other hosts that answer equal requests.

        Those that another stream has continued are used up, and left out.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        found = [
            copy
            for copy in self._peer_copies.values()
            if copy.report.fingerprint == fingerprint
            and now < copy.reported_at + REPORT_EXPIRY_SECONDS
        ]
        reports = [*self._own_reports.values(), *(copy.report for copy in found)]
        continued = {report.continues for report in reports}
        return [copy for copy in found if copy.report.request_id not in continued]
