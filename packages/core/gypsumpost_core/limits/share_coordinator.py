"""Grants the shares of one workspace."""

import attrs

from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import ShareAmounts, add_amounts
from gypsumpost_core.limits.share_division import divide_amounts

SCARCE_SECONDS = 1.0
"""Life of a share while the allowance is scarce, so that unused shares are found quickly."""

AMPLE_SECONDS = 3.0
"""Life of a share while less than half of the allowance is in demand, to save messages."""

AMPLE_FRACTION = 0.5

GRACE_SECONDS = 1.5
"""A share that lapsed without a word stays reserved this long: its holder may be cut off and have
got it confirmed by another coordinator before either side noticed the partition."""

TAKEOVER_SECONDS = AMPLE_SECONDS + GRACE_SECONDS
"""After this time no share of an earlier coordinator can be held any more."""


@attrs.frozen(kw_only=True)
class OpenGrant:
    """A grant that its receiver may hold.

    :param number: number of the report that it answered.
    :param amounts: what was granted.
    :param expires: process time in seconds after which nobody holds it.
    """

    number: int
    amounts: ShareAmounts
    expires: float


@attrs.define(kw_only=True)
class HolderState:
    """What the coordinator knows of one daemon."""

    number: int = 0
    demand: ShareAmounts = ShareAmounts()
    demand_expires: float = 0.0
    grants: list[OpenGrant] = attrs.field(factory=list)


class ShareCoordinator:
    """Keeps the open grants, so that their sum never exceeds the allowance."""

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
        """Answer a report.

        :param host_id: the daemon that reports.
        :param number: number of its report; a later report has a higher number.
        :param report: the report.
        :param limit: what all daemons that this coordinator answers may use together.
        :param takeover_until: process time until which an earlier coordinator's shares may be held.
        :param now: process time in seconds.
        :returns: the share and its life in seconds.
        """
        self._forget_lapsed(now)
        holder = self._holders.setdefault(host_id, HolderState())
        self._reconcile(holder, number, report, now)
        demands = {name: state.demand for name, state in self._holders.items()}
        target = divide_amounts(limit, demands)[host_id]
        free = limit.combine(self._sum_others(host_id), lambda left, right: left - right)
        share = target.combine(free, min)
        seconds = AMPLE_SECONDS if _is_ample(limit, demands) else SCARCE_SECONDS
        if now < takeover_until:
            # Confirming what is held adds nothing to the sum.
            share, seconds = share.combine(report.held, min), SCARCE_SECONDS
        if report.demand.is_zero() and report.held.is_zero():
            share = ShareAmounts()  # The daemon gave its share back.
        share = share.round_down()
        grant = OpenGrant(number=number, amounts=share, expires=now + seconds + GRACE_SECONDS)
        if not share.is_zero():
            holder.grants.append(grant)
        return share, seconds

    def compute_open(self) -> ShareAmounts:
        """Return the most that all daemons together may hold."""
        return add_amounts([_find_most(holder) for holder in self._holders.values()])

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is granted or in demand any more.

        :param now: process time in seconds.
        """
        self._forget_lapsed(now)
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
            # An earlier coordinator's grant is not known here; it lapses within the longest life.
            until = max(expires, default=now + TAKEOVER_SECONDS)
            held = OpenGrant(number=report.held_number, amounts=report.held, expires=until)
            holder.grants.append(held)

    def _forget_lapsed(self, now: float) -> None:
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
        others = [_find_most(h) for name, h in self._holders.items() if name != host_id]
        return add_amounts(others)


def _find_most(holder: HolderState) -> ShareAmounts:
    most = ShareAmounts()
    for grant in holder.grants:
        most = most.combine(grant.amounts, max)
    return most


def _is_ample(limit: ShareAmounts, demands: dict[str, ShareAmounts]) -> bool:
    demand = add_amounts(list(demands.values()))
    spare = limit.scale(AMPLE_FRACTION).combine(demand, lambda left, right: left - right)
    return min(spare.requests, spare.tokens, spare.generations) > 0
