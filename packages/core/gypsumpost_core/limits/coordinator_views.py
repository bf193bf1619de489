"""Selection of each workspace's coordinator from recent membership views."""

import math
from collections.abc import Iterable

from gypsumpost_core.host import Host
from gypsumpost_core.limits.share_coordinator import TAKEOVER_SECONDS
from gypsumpost_core.rendezvous import rank_hosts


class CoordinatorViews:
    """Keeps recent views, that is sets of live hosts, to select coordinators.

    :param own: this host.
    :param now: monotonic time in seconds at which this daemon started.
    """

    def __init__(self, *, own: Host, now: float) -> None:
        self._own = own
        # An earlier process of this host may have granted shares just before this one started.
        self._views: list[tuple[float, list[Host]]] = [(-math.inf, []), (now, [own])]
        self._fractions = [1.0, 1.0]
        self._coordinators: dict[str, Host] = {}

    def update(self, live: Iterable[Host], known: Iterable[Host], now: float) -> None:
        """Add a view if the set of live hosts has changed, and drop outdated ones.

        :param live: all live hosts.
        :param known: all hosts, live or not.
        :param now: monotonic time in seconds.
        """
        hosts = list(live)
        if hosts != self._views[-1][1]:
            self._views.append((now, hosts))
            self._fractions.append(compute_usable_fraction(hosts, known))
            self._coordinators.clear()
        # The newest view older than the takeover time is kept: it gives the previous coordinator.
        while len(self._views) > 1 and self._views[1][0] <= now - TAKEOVER_SECONDS:
            del self._views[0], self._fractions[0]

    def find_coordinator(self, workspace: str) -> Host:
        """Return the host that coordinates a workspace.

        :param workspace: the workspace.
        """
        coordinator = self._coordinators.get(workspace)
        if coordinator is None:
            coordinator = _choose(workspace, self._views[-1][1]) or self._own
            self._coordinators[workspace] = coordinator
        return coordinator

    def find_takeover_end(self, workspace: str) -> float:
        """Return the monotonic time until which another coordinator's shares may be in use.

        :param workspace: a workspace that this host coordinates.
        """
        ended = -math.inf
        for (_, before), (changed_at, _) in zip(self._views, self._views[1:], strict=False):
            if _choose(workspace, before) != self._own:
                ended = changed_at + TAKEOVER_SECONDS
        return ended

    def get_usable_fraction(self) -> float:
        """Return the fraction of each allowance that this side of a partition may use.

        After a partition heals, shares granted by the other side remain in use until they expire.
        Until then, the smaller fraction from before remains the limit.
        """
        return min(self._fractions)


def _choose(workspace: str, hosts: list[Host]) -> Host | None:
    ranked = rank_hosts(f"shares/{workspace}", hosts)
    return ranked[0] if ranked else None


def compute_usable_fraction(live: Iterable[Host], known: Iterable[Host]) -> float:
    """Return the fraction of each allowance that this side of a partition may use.

    A side counts as partitioned if it reaches no host of at least one known failure domain. If
    only some hosts of a domain fail, the whole allowance remains usable.

    :param live: the hosts considered live, including this one.
    :param known: all hosts, live or not.
    """
    live, known = list(live), list(known)
    if {host.failure_domain for host in known} == {host.failure_domain for host in live}:
        return 1.0
    return len(live) / len(known)
