"""Tests of calls with a key while the store comes back from older copies."""

import random

import pytest
import trio
import trio.testing
from result import Err

from gypsumpost_bench.call_cluster import CallCluster
from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_copy import StoreCopy
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_daemon.calls import claim_renewal
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_writer import ClaimWriter
from gypsumpost_daemon.store.era_monitor import EraMonitor

MODES = pytest.mark.parametrize("mode", ["batched", "write-per-call"])


async def start_cluster(nursery: trio.Nursery, mode: str) -> CallCluster:
    """Return a started cluster whose first host has made a call in the first era."""
    cluster = CallCluster(claim_mode=mode)
    cluster.store.logic.era = StoreEra(1)
    await cluster.start(nursery)
    await cluster.call(0, idempotency_key="earlier", x_call_id="earlier")
    return cluster


@MODES
@pytest.mark.parametrize("restores", [1, 2])
async def test_a_call_whose_claim_is_lost_is_not_run_again(
    nursery: trio.Nursery, mode: str, restores: int
) -> None:
    """Guards against a host that has not heard of the restore and claims a finished call again."""
    cluster = await start_cluster(nursery, mode)
    older = cluster.store.logic.make_copy()
    first = await cluster.call(0, idempotency_key="k", x_call_id="c")
    await trio.sleep(0.3)
    for _ in range(restores):
        cluster.store.logic.restore(older)
    again = await cluster.call(2, idempotency_key="k", x_call_id="c")
    assert (again.status, again.body) == (first.status, first.body)
    assert again.headers["idempotent-replayed"] == "true"
    assert cluster.count_executions()["c"] == 1
    nursery.cancel_scope.cancel()


@MODES
async def test_an_outcome_that_reaches_a_restored_store_is_kept(
    nursery: trio.Nursery, mode: str
) -> None:
    """Guards against an outcome that is dropped because the store does not hold its claim yet."""
    cluster = await start_cluster(nursery, mode)
    older = cluster.store.logic.make_copy()
    first = await cluster.call(0, idempotency_key="k", x_call_id="c")
    cluster.store.logic.restore(older)
    again = await cluster.call(0, idempotency_key="k", x_call_id="c")
    assert (again.status, again.body) == (first.status, first.body)
    assert cluster.count_executions()["c"] == 1
    nursery.cancel_scope.cancel()


async def test_no_claim_is_created_before_a_live_host_has_stored_its_own_again(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that runs again because its owner could not be asked, and against a
    host that is gone and keeps all others from creating claims."""
    monkeypatch.setattr(claim_renewal, "PREPARE_SECONDS", 60.0)
    cluster = await start_cluster(nursery, "write-per-call")
    silent = cluster.hosts[0]
    cluster.directories[2].update(
        type(silent)(host_id="silent", failure_domain="d1", peer_address="127.0.0.1:1"), live=True
    )
    cluster.store.logic.restore(cluster.store.logic.make_copy())
    refused = await cluster.call(2, idempotency_key="k", x_call_id="c")
    assert refused.status == 503
    assert cluster.count_executions()["c"] == 0
    cluster.directories[2].forget("silent")
    with trio.fail_after(5):
        while (await cluster.call(2, idempotency_key="k", x_call_id="c")).status != 200:
            await trio.sleep(0.1)
    assert cluster.count_executions()["c"] == 1
    nursery.cancel_scope.cancel()


@MODES
@pytest.mark.parametrize("seed", range(3))
async def test_no_call_runs_twice_while_restores_come_at_random(
    nursery: trio.Nursery, mode: str, seed: int
) -> None:
    """Guards against interleavings of claims, outcomes and restores that run a call twice."""
    rng = random.Random(seed)
    cluster = await start_cluster(nursery, mode)
    logic = cluster.store.logic
    copies: list[StoreCopy] = [logic.make_copy()]

    async def repeat_call(number: int) -> None:
        await trio.sleep(rng.uniform(0, 3))
        for _ in range(3):
            key = f"{number}"
            await cluster.call(rng.randrange(3), idempotency_key=key, x_call_id=key)
            await trio.sleep(rng.uniform(0, 0.5))

    async def restore_often() -> None:
        for _ in range(30):
            await trio.sleep(0.1)
            copies.append(logic.make_copy())
            if rng.random() < 0.2:
                logic.restore(copies[-rng.randint(1, min(10, len(copies)))])

    async with trio.open_nursery() as calling:
        calling.start_soon(restore_often)
        for number in range(60):
            calling.start_soon(repeat_call, number)
    executions = cluster.count_executions()
    assert max(executions.values()) == 1
    assert len(executions) > 30
    nursery.cancel_scope.cancel()


async def test_a_lease_of_a_former_era_is_not_used(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against claims that end with a short lease that has got the id of their former one."""
    eras = EraMonitor()
    store = MemoryStore(eras=eras)
    store.logic.era = StoreEra(1)
    writer = ClaimWriter.create(store, 3600.0, eras=eras)
    older = store.logic.make_copy()

    async def write(key: bytes) -> bool:
        order = ClaimOrder(kind=ClaimOrderKind.CREATE, key=key, value=b"{}")
        result = await writer.write([order], trio.current_time() + 1)
        return not isinstance(result, Err) and result.ok_value[0].applied

    while not await write(b"a"):
        await trio.sleep(1)
    store.logic.restore(older)
    short = store.logic.grant_lease(10, trio.current_time())
    eras.adopt(StoreEra(2))
    await trio.sleep(1)
    assert await write(b"b")
    store.logic.revoke_lease(short)
    assert not await write(b"b")
