"""Exchange of membership with other failure domains."""

import random

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.domain_contact import DomainContact
from gypsumpost_core.membership.local_health import LocalHealth
from gypsumpost_core.membership.membership_outbox import MembershipOutbox
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.seeds import Seeds
from gypsumpost_core.membership.table_comparison import TableComparison
from gypsumpost_core.rendezvous import rank_hosts

RANDOM_HOST_FRACTION = 0.25
"""Fraction of exchanges with a random live host of a domain instead of a link host.

The other domain's own choice of link hosts may differ from the one computed here.
"""


class DomainLinks:
    """Exchanges digests with other domains and detects unreachable domains.

    A few hosts of each domain, its link hosts, start the exchanges.

    :param outbox: sends datagrams and holds the table and the beats.
    :param seeds: hosts from settings and the platform's list.
    :param settings: intervals and limits.
    :param health: health of this process.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        outbox: MembershipOutbox,
        seeds: Seeds,
        settings: MembershipSettings,
        health: LocalHealth,
        rng: random.Random,
    ) -> None:
        self._outbox = outbox
        self._table = outbox.table
        self._seeds = seeds
        self._settings = settings
        self._health = health
        self._rng = rng
        self._contacts: dict[str, DomainContact] = {}
        self._pending_domains: list[str] = []
        self._next_exchange = 0.0
        self._link_hosts: dict[str, list[Host]] = {}
        self._link_hosts_version = -1

    def tick(self, now: float) -> None:
        """Start due exchanges and declare domains unreachable whose deadline has passed.

        :param now: monotonic time in seconds.
        """
        for name, contact in self._contacts.items():
            if now >= contact.unreachable_deadline and not contact.unreachable:
                contact.unreachable = True
                self._table.set_domain_unreachable(name, True)
        if now >= self._next_exchange:
            self._next_exchange = now + self._settings.link_interval
            self._add_contacts(now)
            if self.is_link_host():
                self._exchange(now)

    def extend_deadlines(self, seconds: float) -> None:
        """Extend deadlines after a pause of this process.

        :param seconds: length of the pause.
        """
        for contact in self._contacts.values():
            contact.unreachable_deadline += seconds

    def is_link_host(self) -> bool:
        """Return whether this host is one of the link hosts of its domain."""
        return self._table.own.host in self._find_link_hosts(self._table.own.host.failure_domain)

    def choose_receivers(self) -> list[Host]:
        """Return one host of each of the next domains in turn."""
        receivers = [self._choose_host(name) for name in self._choose_domains()]
        return [host for host in receivers if host is not None]

    def handle_beat(self, beat: DomainBeat, now: float) -> None:
        """Handle evidence that a domain is reachable.

        :param beat: the evidence.
        :param now: monotonic time in seconds.
        """
        name = beat.failure_domain
        if name == self._table.own.host.failure_domain:
            return
        if beat.clock <= self._outbox.beats.get(name, -1):
            return
        self._outbox.beats[name] = beat.clock
        contact = self._get_contact(name, now)
        contact.unreachable_deadline = now + self._compute_timeout()
        if contact.unreachable:
            contact.unreachable = False
            contact.comparison.restart()
            self._table.set_domain_unreachable(name, False)

    def compare(self, datagram: Datagram, now: float) -> None:
        """Compare this process's digest of a domain with that of one of its hosts.

        :param datagram: a datagram from another domain.
        :param now: monotonic time in seconds.
        """
        domain = datagram.sender.host.failure_domain
        same = datagram.table_digest == self._table.compute_digest(domain)
        self._get_contact(domain, now).comparison.record_digest(same, now)

    def handle_page(self, datagram: Datagram, now: float) -> None:
        """Continue to read the table of a domain's hosts.

        :param datagram: a page from another domain.
        :param now: monotonic time in seconds.
        """
        sender = datagram.sender.host
        comparison = self._get_contact(sender.failure_domain, now).comparison
        if comparison.end_page(datagram.cursor):
            self._request_page(sender, comparison, now)

    def _get_contact(self, name: str, now: float) -> DomainContact:
        if name not in self._contacts:
            deadline = now + self._compute_timeout()
            self._contacts[name] = DomainContact(unreachable_deadline=deadline)
        return self._contacts[name]

    def _compute_timeout(self) -> float:
        timeout = self._settings.compute_domain_timeout(len(self._contacts) or 1)
        return timeout * self._health.factor

    def _add_contacts(self, now: float) -> None:
        names = self._table.list_domains() | self._seeds.list_domains()
        for name in sorted(names - {self._table.own.host.failure_domain}):
            self._get_contact(name, now)

    def _exchange(self, now: float) -> None:
        for host in self.choose_receivers():
            contact = self._contacts[host.failure_domain]
            if contact.comparison.is_due(now) and not contact.unreachable:
                self._request_page(host, contact.comparison, now)
            else:
                self._outbox.send(DatagramKind.PING, host, target_id=host.host_id)

    def _request_page(self, host: Host, comparison: TableComparison, now: float) -> None:
        self._outbox.send(DatagramKind.SYNC_REQUEST, host, cursor=comparison.begin_page(now))

    def _choose_domains(self) -> list[str]:
        if not self._pending_domains:
            self._pending_domains = sorted(self._contacts)
            self._rng.shuffle(self._pending_domains)
        count = self._settings.domains_per_exchange
        names, self._pending_domains = self._pending_domains[:count], self._pending_domains[count:]
        return names

    def _choose_host(self, name: str) -> Host | None:
        if self._contacts[name].unreachable or not self._table.list_live(name):
            hosts = self._list_known_hosts(name)
        elif self._rng.random() < RANDOM_HOST_FRACTION:
            hosts = self._table.list_live(name)
        else:
            hosts = self._find_link_hosts(name)
        return self._rng.choice(hosts) if hosts else None

    def _list_known_hosts(self, name: str) -> list[Host]:
        members = self._table.list_members()
        known = {m.host.host_id: m.host for m in members if m.host.failure_domain == name}
        return list((self._seeds.find_in_domain(name) | known).values())

    def _find_link_hosts(self, name: str) -> list[Host]:
        if self._link_hosts_version != self._table.version:
            self._link_hosts_version = self._table.version
            self._link_hosts = {}
        if name not in self._link_hosts:
            hosts = list(self._table.list_live(name))
            if name == self._table.own.host.failure_domain:
                hosts.append(self._table.own.host)
            count = self._settings.link_hosts_per_domain
            self._link_hosts[name] = rank_hosts(f"link:{name}", hosts)[:count]
        return self._link_hosts[name]
