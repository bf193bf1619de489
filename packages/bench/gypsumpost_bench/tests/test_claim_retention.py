"""Tests of the deletion of old claims and outcomes."""

import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_daemon.calls.claim_leases import SLOT_SECONDS, SPARE_SECONDS
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_writer import ClaimWriter

DAY = 24 * 3600.0


def create_order(name: str) -> ClaimOrder:
    return ClaimOrder(kind=ClaimOrderKind.CREATE, key=name.encode(), value=b"claimed")


def replace_order(name: str) -> ClaimOrder:
    return ClaimOrder(
        kind=ClaimOrderKind.REPLACE, key=name.encode(), expected=b"claimed", value=b"done"
    )


async def write(writer: ClaimWriter, order: ClaimOrder) -> bool:
    result = await writer.write([order], trio.current_time() + 1)
    assert isinstance(result, Ok), result
    return result.ok_value[0].applied


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def writer(store: MemoryStore) -> ClaimWriter:
    return ClaimWriter.create(store, DAY)


async def test_a_repeat_within_a_day_finds_the_outcome_and_then_it_is_deleted(
    autojump_clock: trio.testing.MockClock, writer: ClaimWriter
) -> None:
    """Guards against claims deleted too early or never, and outcomes that lose their lease."""
    assert await write(writer, create_order("early"))
    await trio.sleep(SLOT_SECONDS - 1)
    assert await write(writer, create_order("late"))
    assert await write(writer, replace_order("late"))
    await trio.sleep(DAY - 1)
    assert not await write(writer, create_order("late"))
    await trio.sleep(SLOT_SECONDS + SPARE_SECONDS + 2)
    assert await write(writer, create_order("early"))
    assert await write(writer, create_order("late"))


async def test_claims_of_a_slot_share_one_lease(
    autojump_clock: trio.testing.MockClock, store: MemoryStore, writer: ClaimWriter
) -> None:
    """Guards against a number of lease calls that grows with the service calls."""
    for number in range(50):
        assert await write(writer, create_order(str(number)))
    assert store.limits.call_count == 51


async def test_nothing_is_claimed_without_a_lease(
    autojump_clock: trio.testing.MockClock, store: MemoryStore, writer: ClaimWriter
) -> None:
    """Guards against claims that are never deleted, and a lease request for each failed batch."""
    store.faults.inject(StoreFault(kind=StoreFaultKind.LOSE_ANSWERS))
    for _ in range(5):
        result = await writer.write([create_order("a")], trio.current_time() + 1)
        assert isinstance(result, Err) and not result.err_value.sent
    assert store.limits.call_count == 1


async def test_a_lease_that_the_store_lost_is_replaced(
    autojump_clock: trio.testing.MockClock, store: MemoryStore, writer: ClaimWriter
) -> None:
    """Guards against refusing claims for an hour after a restored store has lost the lease."""
    assert await write(writer, create_order("a"))
    store.logic.revoke_lease(1)
    await trio.sleep(60)
    refused = await writer.write([create_order("b")], trio.current_time() + 1)
    assert isinstance(refused, Err)
    assert await write(writer, create_order("b"))
