"""Synchronization of the member table within the domain."""

import random

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.member import list_refutable_updates
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.membership_outbox import MembershipOutbox
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.seeds import Seeds
from gypsumpost_core.membership.table_comparison import TableComparison
from gypsumpost_core.membership.table_pages import TablePages

BOOTSTRAP_CONTACTS = 3
"""Number of hosts contacted at a time while no peer is live."""


class DomainSync:
    """Joins the domain, heals partitions and compares tables within the domain.

    To join and to heal partitions it contacts hosts of the domain that are dead or not known yet.

    :param outbox: sends datagrams and holds the table.
    :param pages: reads the table.
    :param seeds: hosts from settings and the platform's list.
    :param settings: intervals and limits.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        outbox: MembershipOutbox,
        pages: TablePages,
        seeds: Seeds,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._outbox = outbox
        self._table = outbox.table
        self._pages = pages
        self._seeds = seeds
        self._settings = settings
        self._rng = rng
        self._comparison = TableComparison()
        self._sent_page_end = ""
        self._next_contact = 0.0

    def tick(self, now: float) -> None:
        """Contact dead or seed hosts and request the next page, each at its own interval.

        :param now: monotonic time in seconds.
        """
        if now >= self._next_contact:
            self._next_contact = now + self._settings.contact_interval
            self._contact_hosts()
        if self._comparison.is_due(now):
            peers = self._table.list_peers()
            if peers:
                self._request_page(self._rng.choice(peers), now)

    def is_joining(self) -> bool:
        """Return whether this host is still reading the table of its domain."""
        return not self._comparison.matched

    def compare(self, datagram: Datagram, now: float) -> None:
        """Compare the tables of this host and a peer by their digests.

        :param datagram: a datagram from this domain.
        :param now: monotonic time in seconds.
        """
        same = datagram.table_digest == self._table.compute_digest()
        self._comparison.record_digest(same, now)

    def send_page(self, datagram: Datagram) -> None:
        """Answer a host that compares tables.

        A host of another domain gets only this domain's hosts, about which this domain has the most
        recent information.

        :param datagram: the request.
        """
        asking = datagram.sender.host
        foreign = asking.failure_domain != self._table.own.host.failure_domain
        page, cursor = self._pages.read_page(datagram.cursor, own_domain=foreign)
        self._outbox.send(DatagramKind.SYNC_REPLY, asking, cursor=cursor, page=page)

    def handle_page(self, datagram: Datagram, now: float) -> None:
        """Continue to read the table of a host of this domain.

        :param datagram: the page.
        :param now: monotonic time in seconds.
        """
        # Both pages start at the same host id; the next ones start where the shorter one ended.
        ends = [end for end in (datagram.cursor, self._sent_page_end) if end]
        if self._comparison.end_page(min(ends, default="")):
            self._request_page(datagram.sender.host, now)

    def _request_page(self, host: Host, now: float) -> None:
        # The request also carries this host's page, so that one pass repairs both tables.
        cursor = self._comparison.begin_page(now)
        page, self._sent_page_end = self._pages.read_page(cursor, own_domain=False)
        self._outbox.send(DatagramKind.SYNC_REQUEST, host, cursor=cursor, page=page)

    def _contact_hosts(self) -> None:
        candidates = self._list_candidates()
        count = 1 if self._table.list_peers() else BOOTSTRAP_CONTACTS
        for host in self._rng.sample(candidates, min(count, len(candidates))):
            member = self._table.get(host.host_id)
            required = () if member is None else list_refutable_updates(member)
            self._outbox.send(DatagramKind.PING, host, target_id=host.host_id, required=required)

    def _list_candidates(self) -> list[Host]:
        own = self._table.own.host
        found = self._seeds.find_in_domain(own.failure_domain)
        found.pop(own.host_id, None)
        for member in self._table.list_members():
            if member.host.failure_domain != own.failure_domain:
                continue
            found.pop(member.host.host_id, None)
            if member.state is MemberState.DEAD:
                found[member.host.host_id] = member.host
        return list(found.values())
