"""Assigns the hosts of a domain their roles: watchers of the store and relays between domains."""

import math
import random
from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts

WATCHERS = 3
"""Number of hosts of a domain that watch the store. If all of them fail at once, the other hosts
receive a new configuration only after ``REPORT_EXPIRY_SECONDS``, and it has to be applied within
two seconds."""

RELAYS = 2
"""Number of hosts of a domain that report its engine usage to the other domains; the failure of one
of them interrupts nothing."""

REPORT_EXPIRY_SECONDS = 1.6
"""Time until a host's report expires: slightly more than two beacon intervals of an idle host."""

TURN_SECONDS = 1.0
"""How long a host that is no watcher by rank asks a store that does not answer the watchers."""

TURNS_PER_SECOND = 2.0
"""Rate of these turns in a domain: without them, every host of a large fleet calls a store that is
away several times a second."""

RANKING = "duties"
"""Key of the rendezvous ranking, the same on all hosts."""


@attrs.define(kw_only=True)
class HostRoles:
    """Ranks the hosts of a domain by link bandwidth, highest first, and assigns roles by rank.

    All hosts of a domain compute the same ranking from each other's reports. While their reports
    differ, a role may be held by two hosts or by the next host in the ranking.

    :param own: this host.
    :param link_mbps: bandwidth of this host's link in Mbit/s.
    :param rng: random number generator that spreads the turns of hosts over time.
    """

    own: Host
    link_mbps: int
    rng: random.Random = attrs.field(factory=random.Random)
    _turn_at: float = attrs.field(default=-math.inf, init=False)
    _reports: dict[str, tuple[float, HostReport]] = attrs.field(factory=dict, init=False)

    def put_report(self, report: HostReport, now: float) -> None:
        """Store the latest report of a host.

        :param report: the report.
        :param now: monotonic time in seconds.
        """
        self._reports[report.host_id] = (now + REPORT_EXPIRY_SECONDS, report)

    def is_watcher(self, now: float, *, answered: bool) -> bool:
        """Return true if this host has to watch the store.

        While the store answers none of the first hosts in the ranking, the others try in turns,
        since it may turn away single hosts.

        :param now: monotonic time in seconds.
        :param answered: true if the store has answered this host's last call.
        """
        if self.count_watchers_ahead(now) >= WATCHERS:
            return False
        higher_ranked = self._list_higher_ranked(now)
        if answered or sum(report.store_lost for report in higher_ranked) < WATCHERS:
            return True
        return self._has_turn(now, len(self._list_domain(now)) + 1)

    def is_store_lost(self, now: float) -> bool:
        """Return true if the store answers none of the hosts of the domain that query it.

        :param now: monotonic time in seconds.
        """
        querying = [r for r in self._list_domain(now) if r.watching or r.store_lost]
        return bool(querying) and all(report.store_lost for report in querying)

    def count_watchers_ahead(self, now: float) -> int:
        """Return the number of watchers of the domain that come before this host in the ranking.

        :param now: monotonic time in seconds.
        """
        return sum(report.watching for report in self._list_higher_ranked(now))

    def get_relay_index(self, now: float) -> int | None:
        """Return this host's index among the relays of its domain, ``None`` if it is not a relay.

        :param now: monotonic time in seconds.
        """
        rank = len(self._list_higher_ranked(now))
        return rank if rank < RELAYS else None

    def choose_relay(self, hosts: Iterable[Host], index: int, now: float) -> Host | None:
        """Return the host of another domain to which a relay of this domain sends its reports.

        :param hosts: the live hosts of the other domain.
        :param index: index of the relay in this domain.
        :param now: monotonic time in seconds.
        :returns: the host, ``None`` if the other domain has no live host.
        """
        ranked = sorted(
            rank_hosts(RANKING, hosts),
            key=lambda host: self._get_link_mbps(host.host_id, now),
            reverse=True,
        )
        return ranked[index % len(ranked)] if ranked else None

    def _has_turn(self, now: float, hosts: int) -> bool:
        if now >= self._turn_at + TURN_SECONDS:
            self._turn_at = now + self.rng.uniform(0.0, hosts / TURNS_PER_SECOND)
        return now >= self._turn_at

    def _get_link_mbps(self, host_id: str, now: float) -> int:
        expires_at, report = self._reports.get(host_id, (0.0, None))
        return report.link_mbps if report is not None and now < expires_at else 0

    def _list_domain(self, now: float) -> list[HostReport]:
        for host_id in [
            name for name, (expires_at, _) in self._reports.items() if expires_at <= now
        ]:
            del self._reports[host_id]
        return [
            report
            for _, report in self._reports.values()
            if report.failure_domain == self.own.failure_domain
        ]

    def _list_higher_ranked(self, now: float) -> list[HostReport]:
        own = (self.link_mbps, self.own.host_id)
        return [r for r in self._list_domain(now) if (r.link_mbps, r.host_id) > own]
