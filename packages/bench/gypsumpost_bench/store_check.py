"""Validation that etcd does before it runs a transaction."""

from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_daemon.store.store_transaction import StoreOperation, StorePut, StoreTransaction

MAX_OPERATIONS = 128
"""Default of etcd's ``--max-txn-ops``, which applies to each level of nesting."""


def check_transaction(transaction: StoreTransaction) -> set[bytes]:
    """Validate a transaction and return the keys that it may put.

    :param transaction: the transaction with its nested ones.
    :raises StoreRejection: if a level has too many operations or one branch puts a key twice.
    """
    sizes = (len(transaction.compare), len(transaction.success), len(transaction.failure))
    if max(sizes) > MAX_OPERATIONS:
        raise StoreRejection("too many operations in txn request")
    return _collect_puts(transaction.success) | _collect_puts(transaction.failure)


def _collect_puts(operations: tuple[StoreOperation, ...]) -> set[bytes]:
    found: set[bytes] = set()
    for operation in operations:
        if isinstance(operation, StorePut):
            keys = {operation.key}
        elif isinstance(operation, StoreTransaction):
            keys = check_transaction(operation)
        else:
            continue
        if keys & found:
            raise StoreRejection("duplicate key given in txn request")
        found |= keys
    return found
