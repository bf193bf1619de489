"""What the other hosts report, directly or as the sum of their domain."""

from typing import Generic, TypeVar

import attrs

Report = TypeVar("Report")


@attrs.define(kw_only=True)
class SharedReports(Generic[Report]):
    """Keeps the last report of each host of the own domain and of each other domain for a while.

    :param seconds: time after which a report no longer counts.
    """

    seconds: float
    _hosts: dict[str, tuple[float, Report]] = attrs.field(factory=dict, init=False)
    _domains: dict[str, tuple[float, Report]] = attrs.field(factory=dict, init=False)

    def put_host(self, host_id: str, report: Report, now: float) -> None:
        """Replace the report of a host of the own domain.

        :param host_id: the host.
        :param report: what it says.
        :param now: process time in seconds.
        """
        self._hosts[host_id] = (now + self.seconds, report)

    def put_domain(self, domain: str, report: Report, now: float) -> None:
        """Replace the report of another domain.

        :param domain: name of the domain.
        :param report: the sum of what its hosts say.
        :param now: process time in seconds.
        """
        self._domains[domain] = (now + self.seconds, report)

    def get_host(self, host_id: str) -> Report | None:
        """Return the last report of a host of the own domain, expired or not.

        :param host_id: the host.
        """
        return self._hosts[host_id][1] if host_id in self._hosts else None

    def list_hosts(self, now: float) -> list[Report]:
        """Return the reports of the hosts of the own domain.

        :param now: process time in seconds.
        """
        return list_valid(self._hosts, now)

    def list_domains(self, now: float) -> list[Report]:
        """Return the reports of the other domains.

        :param now: process time in seconds.
        """
        return list_valid(self._domains, now)


def list_valid(reports: dict[str, tuple[float, Report]], now: float) -> list[Report]:
    """Return the reports that have not expired, and forget the others.

    :param reports: for each source the time at which its report expires, and the report.
    :param now: process time in seconds.
    """
    for source in [source for source, (until, _) in reports.items() if until < now]:
        del reports[source]
    return [report for _, report in reports.values()]
