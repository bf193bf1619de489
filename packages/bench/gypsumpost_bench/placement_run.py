"""One run of the placement simulation with random faults."""

import random

import attrs

from gypsumpost_bench.delayed_order import DelayedOrder
from gypsumpost_bench.placement_daemon import PlacementDaemon
from gypsumpost_bench.placement_engine import PlacementEngine
from gypsumpost_bench.placement_simulation import TICK, PlacementSimulation
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
    simulation: PlacementSimulation = attrs.field(init=False)
    fault_orders: int = 0
    settling_seconds: float = 0.0
    uncovered_seconds: float = 0.0
    settling_orders: int = 0
    steady_orders: int = 0
    steady_store_calls: int = 0

    @simulation.default
    def _create_simulation(self) -> PlacementSimulation:
        engines = {}
        for number in range(ENGINES):
            models = {REFS[number % len(REFS)], REFS[(number + 1) % len(REFS)]}
            name = f"e{number}"
            engines[name] = PlacementEngine(
                name=name, model_slots=2, checks_fencing=number % 2 == 0, models=models
            )
        daemons = [
            PlacementDaemon(host_id=f"h{rank}", rank=rank, leased=self.leased)
            for rank in range(DAEMONS)
        ]
        return PlacementSimulation(
            engines=engines, daemons=daemons, demand=dict.fromkeys(REFS, DEMANDS[1])
        )

    def run(self) -> None:
        """Run all phases."""
        rng = random.Random(self.seed)
        simulation = self.simulation
        simulation.run(WARM_UP_SECONDS)
        for _ in range(self.faults - 1):
            self._inject(rng)
            simulation.run(FAULT_SECONDS)
            self._end_fault()
        self.fault_orders = simulation.orders_sent
        self._inject(rng)
        self._settle()
        before = simulation.orders_sent
        calls = simulation.store_calls
        simulation.run(STEADY_SECONDS)
        self.steady_orders = simulation.orders_sent - before
        self.steady_store_calls = simulation.store_calls - calls

    def _inject(self, rng: random.Random) -> None:
        simulation = self.simulation
        kind = rng.choice(FAULTS)
        daemon = rng.choice(simulation.daemons)
        engine = rng.choice(list(simulation.engines.values()))
        ref, demand = rng.choice(REFS), rng.choice(DEMANDS)
        if kind == "pause":
            daemon.paused_until = simulation.now + 30.0
        elif kind == "late":
            self._deliver_delayed_orders()
            simulation.pause_next_sender = 15.0
        elif kind == "store":
            simulation.store_down = True
        elif kind == "lost":
            simulation.losing_answers = True
        elif kind == "engine":
            engine.restart(simulation.now)
        elif kind == "daemon":
            daemon.restart()
        # Each fault also changes the demand, so that orders are needed.
        simulation.demand[ref] = demand

    def _end_fault(self) -> None:
        self.simulation.store_down = self.simulation.losing_answers = False

    def _deliver_delayed_orders(self) -> None:
        delayed_orders: list[DelayedOrder] = list(self.simulation.delayed_orders)
        self.simulation.delayed_orders.clear()
        for order in delayed_orders:
            self.simulation.deliver(order)

    def _settle(self) -> None:
        simulation = self.simulation
        started_at, orders = simulation.now, simulation.orders_sent
        settled_at, settled_orders = started_at, orders
        while simulation.now < started_at + SETTLING_LIMIT_SECONDS:
            simulation.run(TICK)
            if simulation.now >= started_at + FAULT_SECONDS:
                simulation.pause_next_sender = 0.0
                self._end_fault()
                self._deliver_delayed_orders()
            if simulation.list_unloaded_refs():
                self.uncovered_seconds = simulation.now - started_at
            if not simulation.is_settled():
                settled_at, settled_orders = simulation.now, simulation.orders_sent
        self.settling_seconds = settled_at - started_at
        self.settling_orders = settled_orders - orders
