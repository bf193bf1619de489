"""One run of the placement simulation with random faults."""

import random

import attrs

from gypsumpost_bench.late_order import LateOrder
from gypsumpost_bench.ordered_engine import OrderedEngine
from gypsumpost_bench.ordering_daemon import OrderingDaemon
from gypsumpost_bench.placement_world import TICK, PlacementWorld
from gypsumpost_core.routing.model_ref import ModelRef

REFS = tuple(ModelRef(model=f"m{number}") for number in range(6))
ENGINES = 6
DAEMONS = 3
DEMANDS = (0.0, 10.0, 150.0, 600.0)
FAULTS = ("pause", "late", "store", "lost", "engine", "daemon", "demand")
WARM_UP_SECONDS = 60.0
FAULT_SECONDS = 20.0
"""Time from one fault to the next; a store fault (down, or answers lost) lasts as long."""

SETTLING_LIMIT_SECONDS = 600.0
STEADY_SECONDS = 300.0


@attrs.define(kw_only=True)
class PlacementRun:
    """Injects faults, waits for the desired state, and then runs for a while without faults.

    :param leased: false for the baseline, in which every daemon sends orders without a lease.
    :param seed: seed of the faults; the same seeds are used with and without a lease.
    :param faults: number of faults.
    """

    leased: bool
    seed: int
    faults: int
    world: PlacementWorld = attrs.field(init=False)
    fault_orders: int = 0
    settling_seconds: float = 0.0
    uncovered_seconds: float = 0.0
    settling_orders: int = 0
    steady_orders: int = 0
    steady_store_calls: int = 0

    @world.default
    def _create_world(self) -> PlacementWorld:
        engines = {}
        for number in range(ENGINES):
            models = {REFS[number % len(REFS)], REFS[(number + 1) % len(REFS)]}
            name = f"e{number}"
            engines[name] = OrderedEngine(
                name=name, model_slots=2, checks_fencing=number % 2 == 0, models=models
            )
        daemons = [
            OrderingDaemon(host_id=f"h{rank}", rank=rank, leased=self.leased)
            for rank in range(DAEMONS)
        ]
        return PlacementWorld(
            engines=engines, daemons=daemons, demand=dict.fromkeys(REFS, DEMANDS[1])
        )

    def run(self) -> None:
        """Run all phases."""
        rng = random.Random(self.seed)
        world = self.world
        world.run(WARM_UP_SECONDS)
        for _ in range(self.faults - 1):
            self._inject(rng)
            world.run(FAULT_SECONDS)
            self._end_fault()
        self.fault_orders = world.orders_sent
        self._inject(rng)
        self._settle()
        before = world.orders_sent
        calls = world.store_calls
        world.run(STEADY_SECONDS)
        self.steady_orders = world.orders_sent - before
        self.steady_store_calls = world.store_calls - calls

    def _inject(self, rng: random.Random) -> None:
        world = self.world
        kind = rng.choice(FAULTS)
        daemon = rng.choice(world.daemons)
        engine = rng.choice(list(world.engines.values()))
        ref, demand = rng.choice(REFS), rng.choice(DEMANDS)
        if kind == "pause":
            daemon.paused_until = world.now + 30.0
        elif kind == "late":
            self._deliver_late()
            world.pause_next_sender = 15.0
        elif kind == "store":
            world.store_down = True
        elif kind == "lost":
            world.losing_answers = True
        elif kind == "engine":
            engine.restart(world.now)
        elif kind == "daemon":
            daemon.restart()
        # Each fault also changes the demand, so that orders are needed.
        world.demand[ref] = demand

    def _end_fault(self) -> None:
        self.world.store_down = self.world.losing_answers = False

    def _deliver_late(self) -> None:
        late: list[LateOrder] = list(self.world.late)
        self.world.late.clear()
        for order in late:
            self.world.deliver(order)

    def _settle(self) -> None:
        world = self.world
        begin, orders = world.now, world.orders_sent
        settled_at, settled_orders = begin, orders
        while world.now < begin + SETTLING_LIMIT_SECONDS:
            world.run(TICK)
            if world.now >= begin + FAULT_SECONDS:
                world.pause_next_sender = 0.0
                self._end_fault()
                self._deliver_late()
            if world.list_missing():
                self.uncovered_seconds = world.now - begin
            if not world.is_settled():
                settled_at, settled_orders = world.now, world.orders_sent
        self.settling_seconds = settled_at - begin
        self.settling_orders = settled_orders - orders
