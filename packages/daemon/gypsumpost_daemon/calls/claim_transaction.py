"""Conversion of claim orders to store transactions."""

from collections.abc import Sequence

from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreDelete,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult


def build_transaction(orders: Sequence[ClaimOrder], lease: int = 0) -> StoreTransaction:
    """Return one transaction with a nested transaction for each order.

    :param orders: the orders; with distinct keys, as etcd refuses to put a key twice.
    :param lease: store lease of the written keys, 0 to keep them indefinitely.
    """
    return StoreTransaction(success=tuple(_build_nested(order, lease) for order in orders))


def read_replies(result: StoreTransactionResult) -> list[ClaimOrderReply]:
    """Return the reply to each order.

    :param result: result of the transaction.
    """
    return [_read_nested(nested) for nested in result.results]


def _build_nested(order: ClaimOrder, lease: int) -> StoreTransaction:
    if order.kind is ClaimOrderKind.CREATE:
        compare = StoreCompare(key=order.key, create_revision=0)
    else:
        compare = StoreCompare(key=order.key, value=order.expected)
    change: StoreOperation = StorePut(key=order.key, value=order.value, lease=lease)
    if order.kind is ClaimOrderKind.REMOVE:
        change = StoreDelete(key=order.key)
    return StoreTransaction(
        compare=(compare,), success=(change,), failure=(StoreGet(key=order.key),)
    )


def _read_nested(nested: object) -> ClaimOrderReply:
    assert isinstance(nested, StoreTransactionResult)
    if nested.succeeded:
        return ClaimOrderReply(applied=True)
    (found,) = nested.results
    assert isinstance(found, tuple)
    return ClaimOrderReply(applied=False, current=found[0].value if found else None)
