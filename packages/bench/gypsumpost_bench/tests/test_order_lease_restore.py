"""Tests of the order lease while the store comes back from older copies."""

import random

import attrs
import pytest
import trio
import trio.testing

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.lease_step import LeaseAction
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_daemon.placement.order_lease_store import OrderLeaseStore
from gypsumpost_daemon.store.era_monitor import EraMonitor

HOSTS = 3
CHECK_SECONDS = 0.05


@attrs.define(kw_only=True)
class Candidates:
    """Hosts that compete for one lease; each can be cut off from the store by itself.

    ``holders`` lists each new pair of holder and fencing token.
    """

    store: MemoryStore = attrs.field(factory=MemoryStore)
    eras: list[EraMonitor] = attrs.field(factory=lambda: [EraMonitor() for _ in range(HOSTS)])
    leases: list[OrderLease] = attrs.field(init=False)
    holders: list[tuple[int, int]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.store.logic.era = StoreEra(1)
        settings = LeaseSettings()
        self.leases = [OrderLease(host_id=f"h{n}", settings=settings) for n in range(HOSTS)]

    def start(self, nursery: trio.Nursery) -> None:
        for number in range(HOSTS):
            nursery.start_soon(self._keep_lease, number)
        nursery.start_soon(self._check)

    def cut_off(self, number: int, seconds: float) -> None:
        until = trio.current_time() + seconds
        kind = StoreFaultKind.PARTITION
        self.store.faults.inject(StoreFault(kind=kind, until=until, domain=f"h{number}"))

    async def wait_for_holder(self) -> int:
        while True:
            now = trio.current_time()
            for number, lease in enumerate(self.leases):
                if lease.may_send(now):
                    return number
            await trio.sleep(CHECK_SECONDS)

    async def _keep_lease(self, number: int) -> None:
        lease, eras = self.leases[number], self.eras[number]
        calls = OrderLeaseStore(
            store=self.store.for_domain(f"h{number}", eras), domain="d", eras=eras
        )
        calls.follow_era(lease)
        while True:
            now = trio.current_time()
            step = lease.decide(number, now)
            if step.action is LeaseAction.WAIT:
                await trio.sleep_until(min(step.at, now + 1))
            else:
                await calls.run_step(lease, step)

    async def _check(self) -> None:
        while True:
            now = trio.current_time()
            holding = [number for number in range(HOSTS) if self.leases[number].may_send(now)]
            assert len(holding) <= 1, holding
            for number in holding:
                holder = (number, self.leases[number].fencing_token)
                if not self.holders or self.holders[-1] != holder:
                    self.holders.append(holder)
            await trio.sleep(CHECK_SECONDS)


def assert_tokens_rise(candidates: Candidates) -> None:
    tokens = [token for _, token in candidates.holders]
    assert tokens == sorted(set(tokens)), tokens


async def test_a_holder_that_is_cut_off_has_stopped_before_another_acts(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two holders: the copy lacks the lease of one that cannot hear of it."""
    candidates = Candidates()
    older = candidates.store.logic.make_copy()
    candidates.start(nursery)
    holder = await candidates.wait_for_holder()
    await trio.sleep(15)
    candidates.cut_off(holder, 60)
    candidates.store.logic.restore(older)
    await trio.sleep(40)
    assert len(candidates.holders) == 2
    assert candidates.holders[1][0] != holder
    assert_tokens_rise(candidates)
    nursery.cancel_scope.cancel()


async def test_a_holder_stops_at_the_first_answer_of_another_era(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against orders under a lease that the copy may lack."""
    candidates = Candidates()
    candidates.start(nursery)
    holder = await candidates.wait_for_holder()
    await trio.sleep(15)
    candidates.eras[holder].observe(StoreEra(2))
    assert not candidates.leases[holder].may_send(trio.current_time())
    nursery.cancel_scope.cancel()


async def test_the_fencing_token_does_not_fall_in_two_restores(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against engines that refuse all orders, or obey a former holder."""
    candidates = Candidates()
    older = candidates.store.logic.make_copy()
    candidates.start(nursery)
    await trio.sleep(40)
    for _ in range(2):
        candidates.store.logic.restore(older)
        await trio.sleep(40)
    assert len(candidates.holders) == 3
    assert_tokens_rise(candidates)
    nursery.cancel_scope.cancel()


async def test_a_store_without_eras_counts_tokens_from_one(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a change for stores that never come back from a copy."""
    candidates = Candidates()
    candidates.store.logic.era = None
    candidates.start(nursery)
    await trio.sleep(5)
    assert candidates.holders == [(0, 1)]
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(20))
async def test_one_host_holds_the_lease_while_restores_and_cuts_come_at_random(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, seed: int
) -> None:
    """Guards against two holders at a time, and against a token that falls."""
    rng = random.Random(seed)
    candidates = Candidates()
    logic = candidates.store.logic
    copies = [logic.make_copy()]
    candidates.start(nursery)
    for _ in range(200):
        await trio.sleep(rng.uniform(0, 3))
        copies.append(logic.make_copy())
        chance = rng.random()
        if chance < 0.05:
            logic.restore(copies[-rng.randint(1, min(len(copies), 8))])
        elif chance < 0.15:
            candidates.cut_off(rng.randrange(HOSTS), rng.uniform(1, 15))
    await trio.sleep(60)
    assert await candidates.wait_for_holder() >= 0
    assert len(candidates.holders) > 3
    assert_tokens_rise(candidates)
    nursery.cancel_scope.cancel()
