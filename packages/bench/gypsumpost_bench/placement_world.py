"""One failure domain with a store, daemons that order, and engines, on a simulated clock."""

from collections.abc import Callable

import attrs

from gypsumpost_bench.late_order import LateOrder
from gypsumpost_bench.ordered_engine import OrderedEngine
from gypsumpost_bench.ordering_daemon import OrderingDaemon
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
COINCIDENCE = 2 * ROUND_TICKS * TICK
"""An engine that lost its models less than this long ago cannot be known to have lost them."""


@attrs.define(kw_only=True)
class PlacementWorld:
    """Runs everything in steps; faults are set from outside between them.

    :param engines: the engines.
    :param daemons: the daemons.
    :param demand: demand by reference.
    """

    engines: dict[str, OrderedEngine]
    daemons: list[OrderingDaemon]
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
    coincidences: int = 0
    late_executions: int = 0
    highest_token: int = 0
    tokens_given: list[int] = attrs.field(factory=list)
    late: list[LateOrder] = attrs.field(factory=list)
    pause_next_sender: float = 0.0

    def run(self, seconds: float) -> None:
        """Run for a time.

        :param seconds: simulated seconds.
        """
        for _ in range(round(seconds / TICK)):
            self.step()

    def step(self) -> None:
        """Run one step of every daemon that is not paused."""
        self.now += TICK
        self.ticks += 1
        snapshot = self.describe()
        for engine in self.engines.values():
            engine.publish()
        for daemon in self.daemons:
            if self.now < daemon.paused_until:
                continue
            if daemon.leased:
                self._step_lease(daemon)
            if (self.ticks + daemon.rank) % ROUND_TICKS == 0:
                self._order(daemon, snapshot)

    def describe(self) -> PlacementSnapshot:
        """Return the lagging reports with the demand."""
        return PlacementSnapshot(
            engines=tuple(engine.reported for engine in self.engines.values()),
            allowed=frozenset(self.demand),
            demand=self.demand,
        )

    def deliver(self, late: LateOrder) -> bool:
        """Let an order arrive and return whether the engine executed it.

        :param late: the order with its token.
        """
        engine = self.engines[late.order.engine]
        before = late.order.ref in engine.models
        executed = engine.take(late.order, late.token)
        if executed and late.token < self.highest_token:
            self.late_executions += 1
        if executed and before and late.order.action is OrderAction.UNLOAD:
            self._check_unload(late)
        return executed

    def list_missing(self) -> list[ModelRef]:
        """Return the references with demand that no serving engine has."""
        serving = [engine for engine in self.engines.values() if not engine.leaving]
        return [
            ref
            for ref, demand in self.demand.items()
            if demand > 0 and not any(ref in engine.models for engine in serving)
        ]

    def is_settled(self) -> bool:
        """Return true if all in use is loaded and every holder's desired state holds."""
        holders = [daemon for daemon in self.daemons if daemon.may_send(self.now)]
        return not self.list_missing() and all(
            self.engines[name].models == set(models)
            for daemon in holders
            for name, models in daemon.desired.items()
        )

    def _check_unload(self, late: LateOrder) -> None:
        ref = late.order.ref
        if ref not in self.list_missing():
            return
        recent = [e for e in self.engines.values() if self.now - e.restarted_at < COINCIDENCE]
        if any(ref in engine.lost_models for engine in recent):
            self.coincidences += 1
        elif late.token == self.highest_token:
            self.last_copy_unloads += 1

    def _order(self, daemon: OrderingDaemon, snapshot: PlacementSnapshot) -> None:
        order = daemon.decide_order(snapshot, self.now)
        if order is None:
            return
        self._count(order)
        late = LateOrder(order=order, token=daemon.get_token())
        if self.pause_next_sender:
            daemon.paused_until = self.now + self.pause_next_sender
            self.pause_next_sender = 0.0
            self.late.append(late)
        elif self.deliver(late):
            daemon.record_accepted(order, self.now)

    def _count(self, order: EngineOrder) -> None:
        self.orders_sent += 1
        loaded = order.ref in self.engines[order.engine].reported.models
        if order.action is OrderAction.LOAD and not loaded:
            self.loads_sent.append(self.now)

    def _step_lease(self, daemon: OrderingDaemon) -> None:
        lease = daemon.lease
        before = lease.fencing_token
        # A grant is followed by the taking at once.
        for _ in range(3):
            step = lease.decide(daemon.rank, self.now)
            if step.action is LeaseAction.WAIT:
                break
            self._call_store(lease, step)
        if lease.fencing_token not in (0, before):
            self.tokens_given.append(lease.fencing_token)
            self.highest_token = max(self.highest_token, lease.fencing_token)

    def _call_store(self, lease: OrderLease, step: LeaseStep) -> None:
        self.store_calls += 1
        if self.store_down:
            lease.record_no_answer(self.now)
            return
        try:
            note = self._run_call(lease, step)
        except StoreRejection:
            lease.record_no_answer(self.now)
            return
        if self.losing_answers:
            lease.record_no_answer(self.now)
        else:
            note()

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
