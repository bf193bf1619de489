"""Reports of others that expire."""

from typing import Generic, TypeVar

import attrs

Report = TypeVar("Report")


@attrs.define(kw_only=True)
class ReportTable(Generic[Report]):
    """Keeps the last report of each source for a while.

    :param seconds: time after which a report no longer counts.
    """

    seconds: float
    _reports: dict[str, tuple[float, Report]] = attrs.field(factory=dict, init=False)

    def put(self, source: str, report: Report, now: float) -> None:
        """Replace the report of a source.

        :param source: the host or failure domain that reports.
        :param report: what it says.
        :param now: process time in seconds.
        """
        self._reports[source] = (now + self.seconds, report)

    def list_valid(self, now: float) -> list[Report]:
        """Return the reports that have not expired, and forget the others.

        :param now: process time in seconds.
        """
        for source in [s for s, (until, _) in self._reports.items() if until < now]:
            del self._reports[source]
        return [report for _, report in self._reports.values()]
