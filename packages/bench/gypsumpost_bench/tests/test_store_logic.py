"""Tests of the store logic of the stand-in platform."""

import pytest

from gypsumpost_bench.store_logic import StoreLogic
from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreDelete,
    StoreGet,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult


def create_once(key: bytes, value: bytes) -> StoreTransaction:
    return StoreTransaction(
        compare=(StoreCompare(key=key, create_revision=0),),
        success=(StorePut(key=key, value=value),),
        failure=(StoreGet(key=key),),
    )


def test_nested_transactions_decide_independently_on_the_state_before() -> None:
    """Guards against a claim that fails because another claim in its batch failed."""
    logic = StoreLogic()
    logic.run_transaction(create_once(b"a", b"1"), 0)
    batch = StoreTransaction(success=(create_once(b"a", b"2"), create_once(b"b", b"3")))
    result = logic.run_transaction(batch, 0)
    first, second = result.results
    assert isinstance(first, StoreTransactionResult) and not first.succeeded
    assert isinstance(first.results[0], tuple) and first.results[0][0].value == b"1"
    assert isinstance(second, StoreTransactionResult) and second.succeeded
    assert logic.revision == 3


def test_key_put_twice_on_one_path_is_rejected_without_effect() -> None:
    """Guards against a batch that the stand-in accepts and etcd would refuse."""
    logic = StoreLogic()
    batch = StoreTransaction(success=(create_once(b"a", b"1"), create_once(b"a", b"2")))
    with pytest.raises(StoreRejection):
        logic.run_transaction(batch, 0)
    with pytest.raises(StoreRejection):
        logic.run_transaction(StoreTransaction(success=(StoreGet(key=b"a"),) * 129), 0)
    with pytest.raises(StoreRejection):
        unknown_lease = (StorePut(key=b"b", value=b"x"), StorePut(key=b"a", value=b"x", lease=7))
        logic.run_transaction(StoreTransaction(success=unknown_lease), 0)
    assert logic.run_transaction(StoreTransaction(success=(StoreGet(key=b"b"),)), 0).results == (
        (),
    )


def test_lapsed_lease_deletes_its_keys_and_reports_it() -> None:
    """Guards against keys that outlive their lease, and a deletion without an event."""
    logic = StoreLogic()
    lease = logic.grant_lease(5, now=0)
    logic.run_transaction(
        StoreTransaction(success=(StorePut(key=b"a", value=b"x", lease=lease),)), 0
    )
    assert logic.renew_lease(lease, now=4) == 5
    logic.expire_leases(now=8.9)
    assert logic.revision == 2
    assert logic.renew_lease(lease, now=9) == 0
    assert [event.value for event in logic.list_events(b"a", b"b", 1)] == [b"x", None]


def test_range_delete_and_value_condition() -> None:
    """Guards against ranges and value conditions that differ from etcd's."""
    logic = StoreLogic()
    puts = tuple(StorePut(key=key, value=b"v") for key in (b"a1", b"a2", b"b1"))
    logic.run_transaction(StoreTransaction(success=puts), 0)
    delete = StoreTransaction(
        compare=(StoreCompare(key=b"a1", value=b"v"), StoreCompare(key=b"b1", mod_revision=2)),
        success=(StoreDelete(key=b"a", range_end=b"b"),),
    )
    assert logic.run_transaction(delete, 0).succeeded
    remaining = logic.run_transaction(
        StoreTransaction(success=(StoreGet(key=b"a", range_end=b"\0"),)), 0
    )
    assert [pair.key for pair in remaining.results[0]] == [b"b1"]  # type: ignore[union-attr]


def test_a_restore_gives_revisions_and_leases_out_again() -> None:
    """Guards against a stand-in in whose drills a caller could still compare revisions."""
    logic = StoreLogic()
    logic.run_transaction(create_once(b"a", b"1"), 0)
    older = logic.make_copy()
    lease = logic.grant_lease(10, 0)
    logic.run_transaction(create_once(b"b", b"2"), 0)
    logic.restore(older)
    assert logic.era == 1 and logic.revision == older.revision
    assert logic.renew_lease(lease, 0) == 0
    assert logic.grant_lease(10, 0) == lease
    assert logic.run_transaction(create_once(b"b", b"3"), 0).succeeded
    events = logic.list_events(b"", b"\0", 0)
    assert [(event.key, event.value, event.mod_revision) for event in events] == [
        (b"a", b"1", 2),
        (b"b", b"3", 3),
    ]
