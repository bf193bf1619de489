"""Tests of batching claim orders."""

from gypsumpost_core.calls.call_retry_budget import CallRetryBudget
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_queue import MAX_BATCH_BYTES, MAX_BATCH_ORDERS, ClaimQueue
from gypsumpost_daemon.calls.queued_order import QueuedOrder


def add_order(queue: ClaimQueue, key: bytes, size: int = 1) -> QueuedOrder:
    order = ClaimOrder(kind=ClaimOrderKind.CREATE, key=key, value=b"x" * size)
    queued = QueuedOrder(order=order)
    queue.add(queued)
    return queued


async def test_batch_has_distinct_keys_and_at_most_its_limit() -> None:
    """Guards against transactions that etcd rejects for duplicate keys or too many operations."""
    queue = ClaimQueue()
    first = add_order(queue, b"same")
    second = add_order(queue, b"same")
    for number in range(MAX_BATCH_ORDERS):
        add_order(queue, b"%d" % number)
    batch = await queue.take_batch()
    assert len(batch) == MAX_BATCH_ORDERS
    assert first in batch and second not in batch
    rest = await queue.take_batch()
    assert [queued.order.key for queued in rest] == [b"same", b"%d" % (MAX_BATCH_ORDERS - 1)]


async def test_batch_is_bounded_in_bytes_and_loses_no_order() -> None:
    """Guards against a request above etcd's size limit, and orders that are never sent."""
    queue = ClaimQueue()
    for number in range(3):
        add_order(queue, b"%d" % number, size=MAX_BATCH_BYTES // 2)
    add_order(queue, b"big", size=2 * MAX_BATCH_BYTES)
    sizes = [len(await queue.take_batch()) for _ in range(4)]
    assert sizes == [1, 1, 1, 1]


async def test_order_is_discarded_only_before_it_is_in_a_batch() -> None:
    """Guards against reporting an order as not sent while it is being written."""
    queue = ClaimQueue()
    taken = add_order(queue, b"a")
    await queue.take_batch()
    waiting = add_order(queue, b"b")
    assert not queue.discard(taken)
    assert queue.discard(waiting)
    assert not queue.discard(waiting)


def test_retries_stay_within_a_tenth_of_first_attempts() -> None:
    """Guards against retries that multiply the load during a partial failure."""
    budget = CallRetryBudget()
    while budget.try_acquire():
        pass
    allowed = 0
    for _ in range(1000):
        budget.record_first_attempt()
        allowed += budget.try_acquire()
    assert allowed == 100
