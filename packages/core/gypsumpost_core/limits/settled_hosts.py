"""Selection of the hosts that may coordinate, by how long they have been live."""

import math
from collections.abc import Sequence

import attrs

from gypsumpost_core.host import Host

SETTLE_SECONDS = 2.0
"""A host that has just started knows few others, and not all others know it."""


OWN_MARGIN_SECONDS = 1.0
"""How much later a host takes itself for settled, unless another one does: the others have noticed
its start later than itself."""


@attrs.define(kw_only=True)
class SettledHosts:
    """Leaves out hosts that have become live only lately, this one included.

    The others that this host finds when it starts are taken for settled, as it cannot tell.

    :param own: this host.
    :param started_at: monotonic time in seconds at which this host started.
    """

    own: Host
    started_at: float
    _confirmed: bool = attrs.field(default=False, init=False)
    _live_since: dict[str, float] = attrs.field(factory=dict, init=False)

    def confirm(self, now: float) -> None:
        """Record that another host takes this one for settled.

        :param now: monotonic time in seconds.
        """
        # Before that, the other host may have started just now as well.
        self._confirmed = self._confirmed or now >= self.started_at + SETTLE_SECONDS

    def select(self, live: Sequence[Host], now: float) -> list[Host]:
        """Return the live hosts that have settled, all of them if none has.

        :param live: all live hosts.
        :param now: monotonic time in seconds.
        """
        starting = now < self.started_at + SETTLE_SECONDS
        self._live_since = {
            host.host_id: self._live_since.get(host.host_id, -math.inf if starting else now)
            for host in live
        }
        margin = 0.0 if self._confirmed else OWN_MARGIN_SECONDS
        self._live_since[self.own.host_id] = self.started_at + margin
        settled = [host for host in live if now >= self._live_since[host.host_id] + SETTLE_SECONDS]
        return settled or list(live)

    def compute_next_time(self, now: float) -> float:
        """Return the monotonic time in seconds at which the next host has settled.

        :param now: monotonic time in seconds.
        :returns: infinity if all have.
        """
        times = [since + SETTLE_SECONDS for since in self._live_since.values()]
        return min((at for at in times if at > now), default=math.inf)
