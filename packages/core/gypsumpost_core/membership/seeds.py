"""Hosts to contact before any update about them has arrived."""

from gypsumpost_core.host import Host


class Seeds:
    """Hosts from the settings and from the platform's list.

    The list may be stale, so a seed is not considered live, and a host that is missing from the
    list is not considered dead.
    """

    def __init__(self) -> None:
        self._by_source: dict[str, dict[str, Host]] = {}

    def replace(self, source: str, hosts: list[Host]) -> None:
        """Replace the seeds of one source.

        :param source: name of the source.
        :param hosts: its hosts.
        """
        self._by_source[source] = {host.host_id: host for host in hosts}

    def list_all(self) -> dict[str, Host]:
        """Return all seeds by host id."""
        found: dict[str, Host] = {}
        for hosts in self._by_source.values():
            found |= hosts
        return found

    def list_domains(self) -> set[str]:
        """Return the failure domains of all seeds."""
        return {host.failure_domain for host in self.list_all().values()}

    def find_in_domain(self, failure_domain: str) -> dict[str, Host]:
        """Return the seeds of one failure domain by host id.

        :param failure_domain: name of the domain.
        """
        seeds = self.list_all().items()
        return {name: host for name, host in seeds if host.failure_domain == failure_domain}
