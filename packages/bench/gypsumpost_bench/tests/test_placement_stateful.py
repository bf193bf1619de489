"""Stateful test of the lease and the orders with faults in any order."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from gypsumpost_bench.placement_daemon import PlacementDaemon
from gypsumpost_bench.placement_engine import PlacementEngine
from gypsumpost_bench.placement_simulation import PlacementSimulation
from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.placement.order_planner import OrderPlanner
from gypsumpost_core.placement.placement_policy import DesiredState
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.routing.model_ref import ModelRef

ENGINES = ("e1", "e2", "e3")
WAITS_SECONDS = st.sampled_from((0.5, 2.0, 6.0, 20.0, 40.0))
REFS = tuple(ModelRef(model=name) for name in "abcd")
DEMANDS = (0.0, 10.0, 150.0, 600.0)
SETTLING_SECONDS = 240.0
QUIET_SECONDS = 60.0
SETTINGS = PlacementSettings(spread_after=15.0)
ORDERS_PER_EVENT = 4
"""Bound that detects flapping: an event moves one reference or empties an engine with two, and
a swap takes three orders."""

RUN_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)


def create_simulation(daemon_class: type[PlacementDaemon] = PlacementDaemon) -> PlacementSimulation:
    """Return a domain with three daemons and three engines; the last ignores fencing tokens."""
    loaded = {"e1": REFS[:2], "e2": REFS[:2], "e3": (REFS[0], REFS[2])}
    engines = {
        name: PlacementEngine(
            name=name, model_slots=2, checks_fencing=name != "e3", models=set(models)
        )
        for name, models in loaded.items()
    }
    daemons = [daemon_class(host_id=f"h{rank}", rank=rank, settings=SETTINGS) for rank in range(3)]
    return PlacementSimulation(
        engines=engines, daemons=daemons, demand=dict.fromkeys(REFS[:3], 10.0)
    )


class PlacementMachine(RuleBasedStateMachine):
    """Injects faults in any order and runs for some simulated time after each."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = create_simulation()
        self.events = 1

    def pass_time(self, seconds: float) -> None:
        self.events += 1
        self.simulation.run(seconds)

    @rule(ref=st.sampled_from(REFS), demand=st.sampled_from(DEMANDS), then=WAITS_SECONDS)
    def change_demand(self, ref: ModelRef, demand: float, then: float) -> None:
        self.simulation.demand[ref] = demand
        self.pass_time(then)

    @rule(down=st.booleans(), losing=st.booleans(), then=WAITS_SECONDS)
    def change_store(self, down: bool, losing: bool, then: float) -> None:
        self.simulation.store_down, self.simulation.losing_answers = down, losing
        self.pass_time(then)
        self.simulation.store_down = self.simulation.losing_answers = False

    @rule(
        rank=st.integers(0, 2), seconds=st.sampled_from((2.0, 9.5, 12.0, 40.0)), then=WAITS_SECONDS
    )
    def pause_daemon(self, rank: int, seconds: float, then: float) -> None:
        self.simulation.daemons[rank].paused_until = self.simulation.now + seconds
        self.pass_time(then)

    @rule(seconds=st.sampled_from((5.0, 30.0)), then=WAITS_SECONDS)
    def pause_next_sender(self, seconds: float, then: float) -> None:
        self.simulation.pause_next_sender = seconds
        self.pass_time(then)

    @rule(rank=st.integers(0, 2), then=WAITS_SECONDS)
    def restart_daemon(self, rank: int, then: float) -> None:
        self.simulation.daemons[rank].restart()
        self.pass_time(then)

    @rule(name=st.sampled_from(ENGINES), then=WAITS_SECONDS)
    def restart_engine(self, name: str, then: float) -> None:
        self.simulation.engines[name].restart(self.simulation.now)
        self.pass_time(then)

    @precondition(lambda self: self.simulation.delayed_orders)
    @rule(data=st.data())
    def deliver_late_order(self, data: st.DataObject) -> None:
        delayed = data.draw(st.sampled_from(self.simulation.delayed_orders))
        self.simulation.delayed_orders.remove(delayed)
        engine = self.simulation.engines[delayed.order.engine]
        before = engine.highest_token
        executed = self.simulation.deliver(delayed)
        assert not (executed and engine.checks_fencing and delayed.token < before)
        self.events += 1

    @rule(name=st.sampled_from(ENGINES), then=WAITS_SECONDS)
    def change_leaving(self, name: str, then: float) -> None:
        self.simulation.engines[name].leaving = not self.simulation.engines[name].leaving
        self.pass_time(then)

    @invariant()
    def unloads_no_last_copy(self) -> None:
        assert self.simulation.last_copy_unloads == 0

    @invariant()
    def tokens_only_grow(self) -> None:
        tokens = self.simulation.granted_tokens
        assert tokens == sorted(set(tokens))

    @invariant()
    def has_one_holder(self) -> None:
        simulation = self.simulation
        assert sum(daemon.may_send(simulation.now) for daemon in simulation.daemons) <= 1

    @invariant()
    def does_not_flap(self) -> None:
        assert self.simulation.orders_sent <= ORDERS_PER_EVENT * self.events

    def teardown(self) -> None:
        simulation = self.simulation
        simulation.store_down = simulation.losing_answers = False
        simulation.pause_next_sender = 0.0
        for engine in simulation.engines.values():
            engine.leaving = False
        for delayed in simulation.delayed_orders:
            simulation.deliver(delayed)
        simulation.run(SETTLING_SECONDS)
        assert simulation.is_settled(), (
            simulation.list_unloaded_refs(),
            simulation.engines,
            simulation.daemons,
        )
        self.events += 4
        self.does_not_flap()
        before = simulation.orders_sent
        simulation.run(QUIET_SECONDS)
        assert simulation.orders_sent == before
        assert simulation.last_copy_unloads == 0


def test_orders_end_in_the_desired_state() -> None:
    """Guards against flapping, old tokens, two holders and unloads of last copies."""
    run_state_machine_as_test(PlacementMachine, settings=RUN_SETTINGS)


class ExpiredLeaseDaemon(PlacementDaemon):
    """Acts as holder of the lease even after its deadline has passed."""

    last_token = 0

    def get_token(self) -> int:
        self.last_token = self.lease.fencing_token or self.last_token
        return self.last_token

    def may_send(self, now: float) -> bool:
        return self.get_token() > 0


@pytest.mark.parametrize("daemon_class", [PlacementDaemon, ExpiredLeaseDaemon])
def test_an_order_after_the_deadline_breaks_an_invariant(
    daemon_class: type[PlacementDaemon],
) -> None:
    """Guards against a holder that sends an order after its deadline."""
    simulation = create_simulation(daemon_class)
    simulation.run(10.0)
    simulation.store_down = True
    simulation.run(15.0)
    simulation.demand[REFS[3]] = 10.0
    if daemon_class is PlacementDaemon:
        simulation.run(60.0)
        assert simulation.orders_sent == 0
        return
    with pytest.raises(BrokenInvariant, match="order-within-lease"):
        simulation.run(60.0)


class CarelessPlanner(OrderPlanner):
    """Unloads without checking that another copy exists."""

    def _choose_unload(
        self,
        engine: EngineReport,
        ref: ModelRef,
        desired: DesiredState,
        snapshot: PlacementSnapshot,
        now: float,
    ) -> EngineOrder | None:
        return EngineOrder(
            engine=engine.name, boot_id=engine.boot_id, action=OrderAction.UNLOAD, ref=ref
        )


@pytest.mark.parametrize("planner_class", [OrderPlanner, CarelessPlanner])
def test_unloading_a_last_copy_breaks_an_invariant(planner_class: type[OrderPlanner]) -> None:
    """Guards against a policy whose desired state has a reference in use on no engine."""
    snapshot = create_simulation().create_snapshot()
    wrong = {name: frozenset({REFS[1]}) for name in ENGINES}
    planner = planner_class(settings=SETTINGS, started_at=0.0)
    order = planner.choose_order(wrong, snapshot, 100.0)
    if planner_class is OrderPlanner:
        assert order is None
        return
    assert order is not None
    with pytest.raises(BrokenInvariant, match="last-copy"):
        planner.record_sent(order, wrong, snapshot, 100.0)
