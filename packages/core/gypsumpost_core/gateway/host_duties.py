"""Which hosts watch the store and which carry reports between failure domains."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts

WATCHERS = 3
"""Hosts of a domain that watch the store. Where all of them fail at once, the others learn of a new
configuration only after ``HEARD_SECONDS``, and it has to be in force within two seconds."""

RELAYS = 2
"""Hosts of a domain that tell the other domains of its work, so that one may fail unnoticed."""

HEARD_SECONDS = 1.6
"""Two beacons of an idle host; one that was silent for longer is not counted on."""

RANKING = "duties"


@attrs.define(kw_only=True)
class HostDuties:
    """Ranks the hosts of a domain, those with the fastest links first.

    All hosts of a domain come to the same ranking from what they tell each other; when they differ
    for a moment, a duty is done twice or by the next host in the ranking.

    :param own: this host.
    :param link_mbps: bandwidth of its link in Mbit/s.
    """

    own: Host
    link_mbps: int
    _reports: dict[str, tuple[float, HostReport]] = attrs.field(factory=dict, init=False)

    def take_report(self, report: HostReport, now: float) -> None:
        """Take in what a host says about itself.

        :param report: the report.
        :param now: process time in seconds.
        """
        self._reports[report.host_id] = (now + HEARD_SECONDS, report)

    def is_watcher(self, now: float) -> bool:
        """Return whether this host is to watch the store.

        :param now: process time in seconds.
        """
        before = self._list_before(now)
        return sum(report.watching for report in before) < WATCHERS

    def is_store_lost(self, now: float) -> bool:
        """Return true if all hosts of the domain that ask the store get no answer.

        :param now: process time in seconds.
        """
        asking = [r for r in self._list_domain(now) if r.watching or r.store_lost]
        return bool(asking) and all(report.store_lost for report in asking)

    def get_relay_number(self, now: float) -> int | None:
        """Return this host's place among the relays of its domain, ``None`` if it is none.

        :param now: process time in seconds.
        """
        place = len(self._list_before(now))
        return place if place < RELAYS else None

    def choose_relay(self, hosts: Iterable[Host], number: int, now: float) -> Host | None:
        """Return the host of another domain that gets the reports of a relay of this one.

        :param hosts: the live hosts of the other domain.
        :param number: place of the relay of this domain.
        :param now: process time in seconds.
        """
        ranked = sorted(
            rank_hosts(RANKING, hosts),
            key=lambda host: self._get_link(host.host_id, now),
            reverse=True,
        )
        return ranked[number % len(ranked)] if ranked else None

    def _get_link(self, host_id: str, now: float) -> int:
        until, report = self._reports.get(host_id, (0.0, None))
        return report.link_mbps if report is not None and now < until else 0

    def _list_domain(self, now: float) -> list[HostReport]:
        for host_id in [name for name, (until, _) in self._reports.items() if until <= now]:
            del self._reports[host_id]
        return [
            report
            for _, report in self._reports.values()
            if report.failure_domain == self.own.failure_domain
        ]

    def _list_before(self, now: float) -> list[HostReport]:
        own = (self.link_mbps, self.own.host_id)
        return [r for r in self._list_domain(now) if (r.link_mbps, r.host_id) > own]
