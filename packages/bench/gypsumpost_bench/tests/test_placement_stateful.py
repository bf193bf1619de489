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

from gypsumpost_bench.ordered_engine import OrderedEngine
from gypsumpost_bench.ordering_daemon import OrderingDaemon
from gypsumpost_bench.placement_world import PlacementWorld
from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.placement.order_planner import OrderPlanner
from gypsumpost_core.placement.placement_policy import DesiredState
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.routing.model_ref import ModelRef

ENGINES = ("e1", "e2", "e3")
PACES = st.sampled_from((0.5, 2.0, 6.0, 20.0, 40.0))
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


def create_world(daemon_class: type[OrderingDaemon] = OrderingDaemon) -> PlacementWorld:
    """Return a domain with three daemons and three engines; the last ignores fencing tokens."""
    loaded = {"e1": REFS[:2], "e2": REFS[:2], "e3": (REFS[0], REFS[2])}
    engines = {
        name: OrderedEngine(
            name=name, model_slots=2, checks_fencing=name != "e3", models=set(models)
        )
        for name, models in loaded.items()
    }
    daemons = [daemon_class(host_id=f"h{rank}", rank=rank, settings=SETTINGS) for rank in range(3)]
    return PlacementWorld(engines=engines, daemons=daemons, demand=dict.fromkeys(REFS[:3], 10.0))


class PlacementMachine(RuleBasedStateMachine):
    """Injects faults in any order and runs for some simulated time after each."""

    def __init__(self) -> None:
        super().__init__()
        self.world = create_world()
        self.events = 1

    def pass_time(self, seconds: float) -> None:
        self.events += 1
        self.world.run(seconds)

    @rule(ref=st.sampled_from(REFS), demand=st.sampled_from(DEMANDS), then=PACES)
    def change_demand(self, ref: ModelRef, demand: float, then: float) -> None:
        self.world.demand[ref] = demand
        self.pass_time(then)

    @rule(down=st.booleans(), losing=st.booleans(), then=PACES)
    def change_store(self, down: bool, losing: bool, then: float) -> None:
        self.world.store_down, self.world.losing_answers = down, losing
        self.pass_time(then)
        self.world.store_down = self.world.losing_answers = False

    @rule(rank=st.integers(0, 2), seconds=st.sampled_from((2.0, 9.5, 12.0, 40.0)), then=PACES)
    def pause_daemon(self, rank: int, seconds: float, then: float) -> None:
        self.world.daemons[rank].paused_until = self.world.now + seconds
        self.pass_time(then)

    @rule(seconds=st.sampled_from((5.0, 30.0)), then=PACES)
    def pause_next_sender(self, seconds: float, then: float) -> None:
        self.world.pause_next_sender = seconds
        self.pass_time(then)

    @rule(rank=st.integers(0, 2), then=PACES)
    def restart_daemon(self, rank: int, then: float) -> None:
        self.world.daemons[rank].restart()
        self.pass_time(then)

    @rule(name=st.sampled_from(ENGINES), then=PACES)
    def restart_engine(self, name: str, then: float) -> None:
        self.world.engines[name].restart(self.world.now)
        self.pass_time(then)

    @precondition(lambda self: self.world.late)
    @rule(data=st.data())
    def deliver_late_order(self, data: st.DataObject) -> None:
        late = data.draw(st.sampled_from(self.world.late))
        self.world.late.remove(late)
        engine = self.world.engines[late.order.engine]
        before = engine.token
        executed = self.world.deliver(late)
        assert not (executed and engine.checks_fencing and late.token < before)
        self.events += 1

    @rule(name=st.sampled_from(ENGINES), then=PACES)
    def change_leaving(self, name: str, then: float) -> None:
        self.world.engines[name].leaving = not self.world.engines[name].leaving
        self.pass_time(then)

    @invariant()
    def unloads_no_last_copy(self) -> None:
        assert self.world.last_copy_unloads == 0

    @invariant()
    def tokens_only_grow(self) -> None:
        given = self.world.tokens_given
        assert given == sorted(set(given))

    @invariant()
    def has_one_holder(self) -> None:
        world = self.world
        assert sum(daemon.may_send(world.now) for daemon in world.daemons) <= 1

    @invariant()
    def does_not_flap(self) -> None:
        assert self.world.orders_sent <= ORDERS_PER_EVENT * self.events

    def teardown(self) -> None:
        world = self.world
        world.store_down = world.losing_answers = False
        world.pause_next_sender = 0.0
        for engine in world.engines.values():
            engine.leaving = False
        for late in world.late:
            world.deliver(late)
        world.run(SETTLING_SECONDS)
        assert world.is_settled(), (world.list_missing(), world.engines, world.daemons)
        self.events += 4
        self.does_not_flap()
        before = world.orders_sent
        world.run(QUIET_SECONDS)
        assert world.orders_sent == before
        assert world.last_copy_unloads == 0


def test_orders_end_in_the_desired_state() -> None:
    """Guards against flapping, old tokens, two holders and unloads of last copies."""
    run_state_machine_as_test(PlacementMachine, settings=RUN_SETTINGS)


class RememberingDaemon(OrderingDaemon):
    """Acts as holder of the lease even after its deadline has passed."""

    remembered = 0

    def get_token(self) -> int:
        self.remembered = self.lease.fencing_token or self.remembered
        return self.remembered

    def may_send(self, now: float) -> bool:
        return self.get_token() > 0


@pytest.mark.parametrize("daemon_class", [OrderingDaemon, RememberingDaemon])
def test_an_order_after_the_deadline_breaks_an_invariant(
    daemon_class: type[OrderingDaemon],
) -> None:
    """Guards against a holder that sends an order after its deadline."""
    world = create_world(daemon_class)
    world.run(10.0)
    world.store_down = True
    world.run(15.0)
    world.demand[REFS[3]] = 10.0
    if daemon_class is OrderingDaemon:
        world.run(60.0)
        assert world.orders_sent == 0
        return
    with pytest.raises(BrokenInvariant, match="order-within-lease"):
        world.run(60.0)


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
    snapshot = create_world().describe()
    wrong = {name: frozenset({REFS[1]}) for name in ENGINES}
    planner = planner_class(settings=SETTINGS, started_at=0.0)
    order = planner.choose_order(wrong, snapshot, 100.0)
    if planner_class is OrderPlanner:
        assert order is None
        return
    assert order is not None
    with pytest.raises(BrokenInvariant, match="last-copy"):
        planner.record_sent(order, wrong, snapshot, 100.0)
