"""Coordinator of one workspace's allowance: grants shares of it to daemons."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.limits.coordinator_views import CoordinatorViews
from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import ShareAmounts, add_amounts
from gypsumpost_core.limits.share_division import divide_amounts

SCARCE_SECONDS = 1.0
"""Lifetime of a share while the allowance is scarce; short, to recover unused shares quickly."""

AMPLE_SECONDS = 3.0
"""Lifetime of a share while less than half of the allowance is in demand; saves messages."""

AMPLE_FRACTION = 0.5

GRACE_SECONDS = 1.5
"""A share that expired without a report stays reserved this long. Its holder may be partitioned,
and another coordinator may have renewed the share before either side detected the partition."""

TAKEOVER_SECONDS = AMPLE_SECONDS + GRACE_SECONDS
"""After this time all shares granted by an earlier coordinator have expired."""

SHARES = "shares"
"""Purpose of the coordinators that grant shares of allowances."""


@attrs.frozen(kw_only=True)
class OutstandingGrant:
    """A grant that its receiver may still hold.

    :param number: number of the report to which it replied.
    :param amounts: the granted amounts.
    :param expires: monotonic time in seconds after which it is certainly not held any more.
    """

    number: int
    amounts: ShareAmounts
    expires: float


@attrs.define(kw_only=True)
class HolderState:
    """The coordinator's state for one daemon.

    :param number: number of its latest report.
    :param demand: the demand in that report.
    :param demand_expires: monotonic time in seconds at which the demand is discarded.
    :param grants: grants that the daemon may hold.
    """

    number: int = 0
    demand: ShareAmounts = ShareAmounts()
    demand_expires: float = 0.0
    grants: list[OutstandingGrant] = attrs.field(factory=list)


def create_share_views(*, own: Host, now: float) -> CoordinatorViews:
    """Return the selection of the coordinators that grant shares of allowances.

    :param own: this host.
    :param now: monotonic time in seconds at which this daemon started.
    """
    return CoordinatorViews(own=own, purpose=SHARES, takeover_seconds=TAKEOVER_SECONDS, now=now)


class ShareCoordinator:
    """Tracks outstanding grants so that their sum never exceeds the allowance."""

    def __init__(self) -> None:
        self._holders: dict[str, HolderState] = {}

    def grant(
        self,
        host_id: str,
        number: int,
        report: DemandReport,
        *,
        limit: ShareAmounts,
        takeover_until: float,
        now: float,
    ) -> tuple[ShareAmounts, float]:
        """Grant a share in reply to a report.

        :param host_id: host id of the reporting daemon.
        :param number: number of its report; later reports have higher numbers.
        :param report: the report.
        :param limit: total amounts that this coordinator may grant.
        :param takeover_until: monotonic time in seconds until which shares granted by an earlier
            coordinator may be in use.
        :param now: monotonic time in seconds.
        :returns: the share and its lifetime in seconds.
        """
        self._remove_expired(now)
        holder = self._holders.setdefault(host_id, HolderState())
        self._reconcile(holder, number, report, now)
        demands = {name: state.demand for name, state in self._holders.items()}
        target = divide_amounts(limit, demands)[host_id]
        free = limit.combine(self._sum_others(host_id), lambda left, right: left - right)
        share = target.combine(free, min)
        seconds = AMPLE_SECONDS if _is_ample(limit, demands) else SCARCE_SECONDS
        if now < takeover_until:
            # Renewing a held share does not increase the sum.
            share, seconds = share.combine(report.held, min), SCARCE_SECONDS
        if report.demand.is_zero() and report.held.is_zero():
            share = ShareAmounts()  # The daemon returned its share.
        share = share.round_down()
        grant = OutstandingGrant(
            number=number, amounts=share, expires=now + seconds + GRACE_SECONDS
        )
        if not share.is_zero():
            holder.grants.append(grant)
        return share, seconds

    def is_idle(self, now: float) -> bool:
        """Return whether there is neither an outstanding grant nor demand.

        :param now: monotonic time in seconds.
        """
        self._remove_expired(now)
        return not self._holders

    def _reconcile(
        self, holder: HolderState, number: int, report: DemandReport, now: float
    ) -> None:
        if number >= holder.number:
            holder.number, holder.demand = number, report.demand
            holder.demand_expires = now + AMPLE_SECONDS
        expires = [g.expires for g in holder.grants if g.number == report.held_number]
        holder.grants = [g for g in holder.grants if g.number > report.held_number]
        if not report.held.is_zero():
            # A grant by an earlier coordinator is not known here; TAKEOVER_SECONDS bounds its life.
            until = max(expires, default=now + TAKEOVER_SECONDS)
            held = OutstandingGrant(number=report.held_number, amounts=report.held, expires=until)
            holder.grants.append(held)

    def _remove_expired(self, now: float) -> None:
        for holder in self._holders.values():
            holder.grants = [grant for grant in holder.grants if grant.expires > now]
            if holder.demand_expires <= now:
                holder.demand = ShareAmounts()
        self._holders = {
            host_id: holder
            for host_id, holder in self._holders.items()
            if holder.grants or holder.demand_expires > now
        }

    def _sum_others(self, host_id: str) -> ShareAmounts:
        others = [_compute_max_held(h) for name, h in self._holders.items() if name != host_id]
        return add_amounts(others)


def _compute_max_held(holder: HolderState) -> ShareAmounts:
    most = ShareAmounts()
    for grant in holder.grants:
        most = most.combine(grant.amounts, max)
    return most


def _is_ample(limit: ShareAmounts, demands: dict[str, ShareAmounts]) -> bool:
    demand = add_amounts(list(demands.values()))
    spare = limit.scale(AMPLE_FRACTION).combine(demand, lambda left, right: left - right)
    return min(spare.requests, spare.tokens, spare.generations) > 0
