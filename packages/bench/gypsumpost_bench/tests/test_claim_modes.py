"""Tests of how claims reach the store."""

import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_core.host import Host
from gypsumpost_daemon.calls import direct_claims  # noqa: F401  registers the mode
from gypsumpost_daemon.calls.claim_mode import CLAIM_MODES, ClaimMode
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.deferred_claim_writer import DeferredClaimWriter
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_network import PeerNetwork


def make_mode(name: str, store: MemoryStore, peer_domain: str = "d2") -> ClaimMode:
    own = Host(host_id="h1", failure_domain="d1", peer_address="127.0.0.1:1")
    directory = HostDirectory(own=own)
    peer = Host(host_id="h2", failure_domain=peer_domain, peer_address="127.0.0.1:1")
    directory.update(peer, live=True)
    network = PeerNetwork(directory=directory, key=b"k")
    return CLAIM_MODES.create(name, directory=directory, network=network, store=store)


async def submit_creation(mode: ClaimMode, number: int, outcomes: list) -> None:
    order = ClaimOrder(kind=ClaimOrderKind.CREATE, key=b"%d" % number, value=b"v")
    outcomes.append(await mode.submit(order, trio.current_time() + 10))


@pytest.mark.parametrize(("mode", "writes"), [("batched", 3), ("write-per-call", 250)])
async def test_claims_share_store_transactions(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, mode: str, writes: int
) -> None:
    """Guards against a number of store transactions that grows with the calls of a domain."""
    store = MemoryStore(latency=0.002)
    claims = make_mode(mode, store)
    outcomes: list = []
    async with trio.open_nursery() as submitting:
        for number in range(250):
            submitting.start_soon(submit_creation, claims, number, outcomes)
        # trio runs tasks in random order, so all orders wait before the first batch is formed.
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(claims.run)
    assert all(isinstance(outcome, Ok) and outcome.ok_value.applied for outcome in outcomes)
    assert store.limits.write_count == writes
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("mode", ["batched", "write-per-call"])
@pytest.mark.parametrize(
    ("kind", "sent"), [(StoreFaultKind.LOSE_ANSWERS, True), (StoreFaultKind.DOWN, False)]
)
async def test_failure_tells_whether_the_claim_may_be_written(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    mode: str,
    kind: StoreFaultKind,
    sent: bool,
) -> None:
    """Guards against treating a claim as absent although the store has it."""
    store = MemoryStore()
    store.faults.inject(StoreFault(kind=kind))
    claims = make_mode(mode, store)
    nursery.start_soon(claims.run)
    outcomes: list = []
    await submit_creation(claims, 1, outcomes)
    assert isinstance(outcomes[0], Err) and outcomes[0].err_value.sent is sent
    nursery.cancel_scope.cancel()


async def test_order_in_a_hanging_transaction_may_have_been_written(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against sent=False for an order whose transaction is still in flight."""
    store = MemoryStore(latency=1.0)
    claims = make_mode("batched", store)
    nursery.start_soon(claims.run)
    order = ClaimOrder(kind=ClaimOrderKind.CREATE, key=b"k", value=b"v")
    outcome = await claims.submit(order, trio.current_time() + 0.5)
    assert isinstance(outcome, Err) and outcome.err_value.sent
    await trio.sleep(1)
    again = (await claims.submit(order, trio.current_time() + 10)).unwrap()
    assert not again.applied and again.current == b"v"
    nursery.cancel_scope.cancel()


async def test_outage_does_not_multiply_attempts_to_write_claims(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against retries for each call during an outage, and against outcomes lost in it."""
    store = MemoryStore()
    store.faults.inject(StoreFault(kind=StoreFaultKind.DOWN))
    writer = DeferredClaimWriter(claims=make_mode("write-per-call", store))
    nursery.start_soon(writer.run)
    for number in range(100):
        writer.add(ClaimOrder(kind=ClaimOrderKind.CREATE, key=b"%d" % number, value=b"v"))
    await trio.sleep(60)
    assert store.limits.call_count <= 125
    store.faults.inject(StoreFault(kind=StoreFaultKind.NONE))
    await trio.sleep(60)
    assert store.limits.write_count == 100
    nursery.cancel_scope.cancel()
