"""Selection of the host that coordinates a shared amount, from recent membership views."""

import math
from collections.abc import Iterable

from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts


class CoordinatorViews:
    """Keeps recent views, that is sets of live hosts, to select coordinators.

    :param own: this host.
    :param purpose: what is coordinated, such as ``shares``; it is part of the ranking.
    :param takeover_seconds: time after which nothing that an earlier coordinator has granted is in
        use any more.
    :param now: monotonic time in seconds at which this daemon started.
    """

    def __init__(self, *, own: Host, purpose: str, takeover_seconds: float, now: float) -> None:
        self._own = own
        self._purpose = purpose
        self._takeover_seconds = takeover_seconds
        # An earlier process of this host may have granted shares just before this one started.
        self._views: list[tuple[float, list[Host]]] = [(-math.inf, []), (now, [own])]
        self._fractions = [1.0, 1.0]
        self._coordinators: dict[str, Host] = {}

    def update(
        self,
        live: Iterable[Host],
        known: Iterable[Host],
        now: float,
        *,
        candidates: Iterable[Host] | None = None,
    ) -> None:
        """Add a view if the set of live hosts has changed, and drop outdated ones.

        :param live: all live hosts.
        :param known: all hosts, live or not.
        :param now: monotonic time in seconds.
        :param candidates: the live hosts that may coordinate, all of them if not given.
        """
        live = list(live)
        hosts = live if candidates is None else list(candidates)
        fraction = compute_usable_fraction(live, known)
        if hosts != self._views[-1][1]:
            self._views.append((now, hosts))
            self._fractions.append(fraction)
            self._coordinators.clear()
        else:
            # Hosts of a lost domain may have been forgotten meanwhile.
            self._fractions[-1] = fraction
        # The newest view older than the takeover time is kept: it gives the previous coordinator.
        while len(self._views) > 1 and self._views[1][0] <= now - self._takeover_seconds:
            del self._views[0], self._fractions[0]

    def find_coordinator(self, name: str) -> Host:
        """Return the host that coordinates an amount.

        :param name: name of the amount, such as a workspace.
        """
        coordinator = self._coordinators.get(name)
        if coordinator is None:
            coordinator = self._choose(name, self._views[-1][1]) or self._own
            self._coordinators[name] = coordinator
        return coordinator

    def find_takeover_end(self, name: str) -> float:
        """Return the monotonic time until which another coordinator's grants may be in use.

        :param name: name of an amount that this host coordinates.
        """
        ended = -math.inf
        for (_, before), (changed_at, _) in zip(self._views, self._views[1:], strict=False):
            if self._choose(name, before) != self._own:
                ended = changed_at + self._takeover_seconds
        return ended

    def get_usable_fraction(self) -> float:
        """Return the fraction of each amount that this side of a partition may use.

        After a partition heals, shares granted by the other side remain in use until they expire.
        Until then, the smaller fraction from before remains the limit.
        """
        return min(self._fractions)

    def _choose(self, name: str, hosts: list[Host]) -> Host | None:
        ranked = rank_hosts(f"{self._purpose}/{name}", hosts)
        return ranked[0] if ranked else None


def compute_usable_fraction(live: Iterable[Host], known: Iterable[Host]) -> float:
    """Return the fraction of each amount that this side of a partition may use.

    A side counts as partitioned if it reaches no host of at least one known failure domain. If
    only some hosts of a domain fail, the whole amount remains usable.

    :param live: the hosts considered live, including this one.
    :param known: all hosts, live or not.
    """
    live, known = list(live), list(known)
    if {host.failure_domain for host in known} == {host.failure_domain for host in live}:
        return 1.0
    return len(live) / len(known)
