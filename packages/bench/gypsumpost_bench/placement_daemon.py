"""A simulated daemon that acquires the lease and sends orders to engines."""

import attrs

from gypsumpost_core.placement.engine_order import EngineOrder
from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_core.placement.order_planner import OrderPlanner
from gypsumpost_core.placement.placement_policies import PLACEMENT
from gypsumpost_core.placement.placement_policy import DesiredState, PlacementPolicy
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot


def create_lease(host_id: str) -> OrderLease:
    """Return the lease state machine of a daemon.

    :param host_id: id of its host.
    """
    return OrderLease(host_id=host_id, settings=LeaseSettings())


@attrs.define(kw_only=True)
class PlacementDaemon:
    """The decisions of the daemon's placement task, without its sockets.

    :param host_id: id of its host.
    :param rank: its position in the rendezvous order.
    :param policy: a name of the registry ``placement``.
    :param leased: false for the baseline, in which every daemon sends orders without a lease.
    """

    host_id: str
    rank: int
    policy: str = "demand"
    leased: bool = True
    settings: PlacementSettings = attrs.field(factory=PlacementSettings)
    paused_until: float = 0.0
    lease: OrderLease = attrs.field(init=False)
    desired: DesiredState = attrs.field(factory=dict, init=False)
    _token: int = attrs.field(default=-1, init=False)
    _planner: OrderPlanner | None = attrs.field(default=None, init=False)
    _placement: PlacementPolicy | None = attrs.field(default=None, init=False)

    @lease.default
    def _create_lease(self) -> OrderLease:
        return create_lease(self.host_id)

    def restart(self) -> None:
        """Restart without the lease and its state."""
        self.lease = create_lease(self.host_id)
        self._token = -1

    def get_token(self) -> int:
        """Return the fencing token to send with orders, 0 without a lease."""
        return self.lease.fencing_token if self.leased else 0

    def may_send(self, now: float) -> bool:
        """Return true if the daemon may send orders now."""
        return self.lease.may_send(now) if self.leased else True

    def decide_order(self, snapshot: PlacementSnapshot, now: float) -> EngineOrder | None:
        """Run one planning round; return an order that passed the last lease check, or ``None``.

        :param snapshot: the engines' reports and the demand.
        :param now: simulated time in seconds.
        """
        if not self.may_send(now):
            return None
        placement, planner = self._begin_term(now)
        self.desired = placement.compute_desired(snapshot, now)
        order = planner.choose_order(self.desired, snapshot, now)
        if order is None:
            return None
        planner.record_sent(order, self.desired, snapshot, now)
        if self.leased:
            self.lease.check_order(self.get_token(), now)
        return order

    def record_accepted(self, order: EngineOrder, now: float) -> None:
        """Record that an engine accepted the last order."""
        if self._planner is not None:
            self._planner.record_accepted(order, now)

    def _begin_term(self, now: float) -> tuple[PlacementPolicy, OrderPlanner]:
        if self._placement is None or self._planner is None or self._token != self.get_token():
            self._token = self.get_token()
            self._placement = PLACEMENT.create(self.policy, settings=self.settings)
            self._planner = OrderPlanner(settings=self.settings, started_at=now)
        return self._placement, self._planner
