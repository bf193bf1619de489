"""Simulation of one failure domain: a store, daemons that send orders, and engines."""

from collections.abc import Callable

import attrs

from gypsumpost_bench.delayed_order import DelayedOrder
from gypsumpost_bench.placement_daemon import PlacementDaemon
from gypsumpost_bench.placement_engine import PlacementEngine
from gypsumpost_bench.store_logic import StoreLogic
from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.lease_step import LeaseAction, LeaseStep
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.placement.order_lease_store import build_lease_transaction, read_view

DOMAIN = "domain-1"
TICK = 0.5
"""Seconds between two steps; reports lag by one step."""

ROUND_TICKS = 2
RESTART_DETECTION_SECONDS = 2 * ROUND_TICKS * TICK
"""Seconds after an engine's restart in which daemons cannot know yet that it lost its models."""


@attrs.define(kw_only=True)
class PlacementSimulation:
    """Runs store, daemons and engines in steps of simulated time.

    Callers inject faults between the steps by setting attributes.

    :param engines: the engines.
    :param daemons: the daemons.
    :param demand: demand by reference.
    """

    engines: dict[str, PlacementEngine]
    daemons: list[PlacementDaemon]
    demand: dict[ModelRef, float]
    now: float = 0.0
    ticks: int = 0
    store: StoreLogic = attrs.field(factory=StoreLogic)
    store_down: bool = False
    losing_answers: bool = False
    store_calls: int = 0
    orders_sent: int = 0
    loads_sent: list[float] = attrs.field(factory=list)
    last_copy_unloads: int = 0
    unloads_after_restart: int = 0
    outdated_executions: int = 0
    highest_token: int = 0
    granted_tokens: list[int] = attrs.field(factory=list)
    delayed_orders: list[DelayedOrder] = attrs.field(factory=list)
    pause_next_sender: float = 0.0

    def run(self, seconds: float) -> None:
        """Run the steps of a period.

        :param seconds: simulated seconds.
        """
        for _ in range(round(seconds / TICK)):
            self.step()

    def step(self) -> None:
        """Run one step of every daemon that is not paused."""
        self.now += TICK
        self.ticks += 1
        snapshot = self.create_snapshot()
        for engine in self.engines.values():
            engine.publish()
        for daemon in self.daemons:
            if self.now < daemon.paused_until:
                continue
            if daemon.leased:
                self._step_lease(daemon)
            if (self.ticks + daemon.rank) % ROUND_TICKS == 0:
                self._order(daemon, snapshot)

    def create_snapshot(self) -> PlacementSnapshot:
        """Return the engines' reports, which lag by one step, and the demand."""
        return PlacementSnapshot(
            engines=tuple(engine.reported for engine in self.engines.values()),
            allowed=frozenset(self.demand),
            demand=self.demand,
        )

    def deliver(self, delayed: DelayedOrder) -> bool:
        """Deliver an order to its engine and return whether the engine executed it.

        :param delayed: the order with its token.
        """
        engine = self.engines[delayed.order.engine]
        before = delayed.order.ref in engine.models
        executed = engine.execute(delayed.order, delayed.token)
        if executed and delayed.token < self.highest_token:
            self.outdated_executions += 1
        if executed and before and delayed.order.action is OrderAction.UNLOAD:
            self._check_unload(delayed)
        return executed

    def list_unloaded_refs(self) -> list[ModelRef]:
        """Return the references with demand that no engine has loaded, leaving engines aside."""
        serving = [engine for engine in self.engines.values() if not engine.leaving]
        return [
            ref
            for ref, demand in self.demand.items()
            if demand > 0 and not any(ref in engine.models for engine in serving)
        ]

    def is_settled(self) -> bool:
        """Return true if all references with demand are loaded and all desired states are met.

        Only the desired states of daemons that may send orders count.
        """
        holders = [daemon for daemon in self.daemons if daemon.may_send(self.now)]
        return not self.list_unloaded_refs() and all(
            self.engines[name].models == set(models)
            for daemon in holders
            for name, models in daemon.desired.items()
        )

    def _check_unload(self, delayed: DelayedOrder) -> None:
        ref = delayed.order.ref
        if ref not in self.list_unloaded_refs():
            return
        recent = [
            e
            for e in self.engines.values()
            if self.now - e.restarted_at < RESTART_DETECTION_SECONDS
        ]
        if any(ref in engine.lost_models for engine in recent):
            self.unloads_after_restart += 1
        elif delayed.token == self.highest_token:
            self.last_copy_unloads += 1

    def _order(self, daemon: PlacementDaemon, snapshot: PlacementSnapshot) -> None:
        order = daemon.decide_order(snapshot, self.now)
        if order is None:
            return
        self._count_order(order)
        delayed = DelayedOrder(order=order, token=daemon.get_token())
        if self.pause_next_sender:
            daemon.paused_until = self.now + self.pause_next_sender
            self.pause_next_sender = 0.0
            self.delayed_orders.append(delayed)
        elif self.deliver(delayed):
            daemon.record_accepted(order, self.now)

    def _count_order(self, order: EngineOrder) -> None:
        self.orders_sent += 1
        loaded = order.ref in self.engines[order.engine].reported.models
        if order.action is OrderAction.LOAD and not loaded:
            self.loads_sent.append(self.now)

    def _step_lease(self, daemon: PlacementDaemon) -> None:
        lease = daemon.lease
        before = lease.fencing_token
        # A granted lease is acquired in the same step.
        for _ in range(3):
            step = lease.decide(daemon.rank, self.now)
            if step.action is LeaseAction.WAIT:
                break
            self._call_store(lease, step)
        if lease.fencing_token not in (0, before):
            self.granted_tokens.append(lease.fencing_token)
            self.highest_token = max(self.highest_token, lease.fencing_token)

    def _call_store(self, lease: OrderLease, step: LeaseStep) -> None:
        self.store_calls += 1
        if self.store_down:
            lease.record_no_answer(self.now)
            return
        try:
            record_answer = self._run_call(lease, step)
        except StoreRejection:
            lease.record_no_answer(self.now)
            return
        if self.losing_answers:
            lease.record_no_answer(self.now)
        else:
            record_answer()

    def _run_call(self, lease: OrderLease, step: LeaseStep) -> Callable[[], None]:
        if step.action is LeaseAction.GRANT:
            granted = self.store.grant_lease(lease.settings.ttl, self.now)
            return lambda: lease.record_granted(granted, f"n{self.store_calls}", self.now)
        if step.action is LeaseAction.RENEW:
            kept = self.store.renew_lease(step.store_lease, self.now)
            return lambda: lease.record_renewed(kept, self.now)
        done = self.store.run_transaction(build_lease_transaction(DOMAIN, step), self.now)
        if step.action is LeaseAction.ACQUIRE and done.succeeded:
            return lambda: lease.record_acquired(self.now)
        return lambda: lease.record_read(read_view(done), self.now)
