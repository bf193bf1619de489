"""Where the copies of all streams are."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport

KEEP_SECONDS = 5.0
"""A copy outlives its stream by a few seconds; after that a report is of no use."""


@attrs.define(kw_only=True)
class CopyDirectory:
    """Remembers the copies of this host's streams and of those that peers report.

    A caller whose host has died sends its request again to another host, which goes on from the
    copy instead of having the prompt read again.
    """

    _own: dict[bytes, CopyReport] = attrs.field(factory=dict, init=False)
    _known: dict[bytes, tuple[float, CopyReport]] = attrs.field(factory=dict, init=False)

    def put(self, report: CopyReport) -> None:
        """Note the copy of a stream of this host."""
        self._own[report.fingerprint] = report

    def drop(self, fingerprint: bytes) -> None:
        """Forget a stream of this host that has ended."""
        self._own.pop(fingerprint, None)

    def list_own(self) -> tuple[CopyReport, ...]:
        """Return the copies that peers are told of."""
        return tuple(self._own.values())

    def take_reports(self, reports: Iterable[CopyReport], now: float) -> None:
        """Take in the copies of a peer's streams.

        :param reports: the copies.
        :param now: process time in seconds.
        """
        for report in reports:
            self._known[report.fingerprint] = (now + KEEP_SECONDS, report)
        for key in [key for key, (until, _) in self._known.items() if until < now]:
            del self._known[key]

    def find(self, fingerprint: bytes, now: float) -> CopyReport | None:
        """Return the copy of a request that another host was serving.

        :param fingerprint: digest of the request.
        :param now: process time in seconds.
        """
        until, report = self._known.get(fingerprint, (0.0, None))
        return report if now < until else None
