"""Reports of other hosts, received from each host or as the sum of a domain."""

from typing import Generic, TypeVar

import attrs

Report = TypeVar("Report")


@attrs.define(kw_only=True)
class SharedReports(Generic[Report]):
    """Keeps the latest report of each host of the own domain and of each other domain.

    :param seconds: time after which a report expires.
    """

    seconds: float
    _hosts: dict[str, tuple[float, Report]] = attrs.field(factory=dict, init=False)
    _domains: dict[str, tuple[float, Report]] = attrs.field(factory=dict, init=False)

    def put_host(self, host_id: str, report: Report, now: float) -> None:
        """Replace the report of a host of the own domain.

        :param host_id: the host.
        :param report: its report.
        :param now: monotonic time in seconds.
        """
        self._hosts[host_id] = (now + self.seconds, report)

    def put_domain(self, domain: str, report: Report, now: float) -> None:
        """Replace the report of another domain.

        :param domain: name of the domain.
        :param report: the sum of the reports of its hosts.
        :param now: monotonic time in seconds.
        """
        self._domains[domain] = (now + self.seconds, report)

    def get_host(self, host_id: str) -> Report | None:
        """Return the latest report of a host of the own domain, even if it has expired.

        :param host_id: the host.
        :returns: the report, ``None`` if there is none.
        """
        return self._hosts[host_id][1] if host_id in self._hosts else None

    def list_hosts(self, now: float) -> list[Report]:
        """Return the reports of the hosts of the own domain that have not expired.

        :param now: monotonic time in seconds.
        """
        return list_valid(self._hosts, now)

    def list_domains(self, now: float) -> list[Report]:
        """Return the reports of the other domains that have not expired.

        :param now: monotonic time in seconds.
        """
        return list_valid(self._domains, now)


def list_valid(reports: dict[str, tuple[float, Report]], now: float) -> list[Report]:
    """Return the reports that have not expired and remove the others.

    :param reports: expiry time and report of each source; changed.
    :param now: monotonic time in seconds.
    """
    for source in [source for source, (expires_at, _) in reports.items() if expires_at < now]:
        del reports[source]
    return [report for _, report in reports.values()]
