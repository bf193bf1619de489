"""Converts a desired state into orders, one at a time."""

import attrs

from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.placement.load_budget import LoadBudget
from gypsumpost_core.placement.placement_policy import DesiredState
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.define(kw_only=True)
class OrderPlanner:
    """Chooses the next order of the lease holder.

    A new planner is created for each fencing token. Before a copy of a reference in use is
    unloaded, an engine that keeps the reference is ordered to load it. Accepting that order is
    fresher evidence than the engine's report, which lags, and an engine that checks fencing tokens
    then rejects late orders of former lease holders.

    :param settings: delays.
    :param started_at: monotonic time in seconds at which this host acquired the lease.
    """

    settings: PlacementSettings
    started_at: float
    _budget: LoadBudget = attrs.field(init=False)
    _outstanding: EngineOrder | None = attrs.field(default=None, init=False)
    _repeat_at: float = attrs.field(default=0.0, init=False)
    _ordered_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _accepted: bool = attrs.field(default=False, init=False)
    _confirmed_until: dict[tuple[str, str, ModelRef], float] = attrs.field(factory=dict, init=False)

    @_budget.default
    def _create_budget(self) -> LoadBudget:
        interval, burst = self.settings.load_interval, self.settings.load_burst
        return LoadBudget(interval=interval, burst=burst, now=self.started_at)

    def choose_order(
        self, desired: DesiredState, snapshot: PlacementSnapshot, now: float
    ) -> EngineOrder | None:
        """Return the next order to send, ``None`` if no order is due.

        :param desired: the desired state.
        :param snapshot: the reports from which the desired state was computed.
        :param now: monotonic time in seconds.
        """
        if self._is_waiting(snapshot, now):
            return None
        # The engine whose last order is oldest comes first, so that an engine that never carries
        # out its orders does not block the others.
        engines = [engine for engine in snapshot.list_serving() if engine.name in desired]
        for engine in sorted(engines, key=lambda e: self._ordered_at.get(e.name, 0.0)):
            order = self._choose_for(engine, desired, snapshot, now)
            if order is not None:
                return order
        return None

    def record_sent(
        self, order: EngineOrder, desired: DesiredState, snapshot: PlacementSnapshot, now: float
    ) -> None:
        """Check an order that is about to be sent, and record it as outstanding.

        :param order: the order.
        :param desired: the desired state.
        :param snapshot: the latest reports.
        :param now: monotonic time in seconds.
        :raises BrokenInvariant: if the order would unload the last copy of a reference in use.
        """
        if order.action is OrderAction.UNLOAD and snapshot.is_in_use(order.ref):
            kept = _list_keepers(order.engine, order.ref, desired, snapshot)
            require(Invariant.LAST_COPY, bool(kept), {"order": order, "situation": snapshot})
        if self._is_load(order, snapshot):
            self._budget.consume(now)
        self._outstanding, self._accepted = order, False
        self._repeat_at = now + self.settings.repeat_after
        self._ordered_at[order.engine] = now

    def record_accepted(self, order: EngineOrder, now: float) -> None:
        """Record that an engine accepted the order that was sent last.

        :param order: the order.
        :param now: monotonic time in seconds.
        """
        self._accepted = True
        if order.action is OrderAction.LOAD:
            key = order.engine, order.boot_id, order.ref
            self._confirmed_until[key] = now + self.settings.confirmation_time

    def _is_waiting(self, snapshot: PlacementSnapshot, now: float) -> bool:
        order = self._outstanding
        if order is None or now >= self._repeat_at:
            return False
        for engine in snapshot.list_serving():
            # If the reference was loaded before the order, the report looks the same whether or not
            # the order arrived, so the order must also have been accepted.
            if engine.name == order.engine and self._accepted and _is_done(order, engine):
                self._outstanding = None
        return self._outstanding is not None

    def _choose_for(
        self, engine: EngineReport, desired: DesiredState, snapshot: PlacementSnapshot, now: float
    ) -> EngineOrder | None:
        desired_models = desired[engine.name]
        for ref in sorted(engine.models - desired_models, key=str):
            order = self._choose_unload(engine, ref, desired, snapshot, now)
            if order is not None:
                return order
        missing = sorted(desired_models - engine.models, key=str)
        has_room = len(engine.models) < engine.model_slots
        if missing and has_room and self._budget.may_load(now):
            return _create_order(engine, OrderAction.LOAD, missing[0])
        return None

    def _choose_unload(
        self,
        engine: EngineReport,
        ref: ModelRef,
        desired: DesiredState,
        snapshot: PlacementSnapshot,
        now: float,
    ) -> EngineOrder | None:
        if now < self.started_at + self.settings.unload_after:
            return None
        unload = _create_order(engine, OrderAction.UNLOAD, ref)
        if not snapshot.is_in_use(ref):
            return unload
        keepers = _list_keepers(engine.name, ref, desired, snapshot)
        if not keepers:
            return None
        confirmed = [keeper for keeper in keepers if self._is_confirmed(keeper, ref, now)]
        if confirmed:
            return unload
        # Prefer an engine that checks fencing tokens: only it is protected from late orders.
        keeper = max(keepers, key=lambda engine: (engine.checks_fencing, engine.name))
        return _create_order(keeper, OrderAction.LOAD, ref)

    def _is_confirmed(self, engine: EngineReport, ref: ModelRef, now: float) -> bool:
        return now < self._confirmed_until.get((engine.name, engine.boot_id, ref), 0.0)

    def _is_load(self, order: EngineOrder, snapshot: PlacementSnapshot) -> bool:
        loaded = {engine.name: engine.models for engine in snapshot.engines}
        return order.action is OrderAction.LOAD and order.ref not in loaded.get(order.engine, ())


def _create_order(engine: EngineReport, action: OrderAction, ref: ModelRef) -> EngineOrder:
    return EngineOrder(engine=engine.name, boot_id=engine.boot_id, action=action, ref=ref)


def _is_done(order: EngineOrder, engine: EngineReport) -> bool:
    return (order.ref in engine.models) is (order.action is OrderAction.LOAD)


def _list_keepers(
    name: str, ref: ModelRef, desired: DesiredState, snapshot: PlacementSnapshot
) -> list[EngineReport]:
    # An engine counts only if it has the reference loaded and the desired state keeps it there.
    return [
        engine
        for engine in snapshot.list_serving()
        if engine.name != name
        and ref in engine.models
        and ref in desired.get(engine.name, frozenset())
    ]
