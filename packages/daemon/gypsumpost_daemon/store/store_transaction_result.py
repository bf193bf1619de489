"""Result of a transaction of the platform's store."""

from __future__ import annotations

import attrs

from gypsumpost_daemon.store.store_key_value import StoreKeyValue


@attrs.frozen(kw_only=True)
class StoreTransactionResult:
    """Result of a transaction.

    :param succeeded: true if all conditions held.
    :param revision: store revision after the transaction.
    :param results: for each executed operation: the key-value pairs of a get, the result of a
        nested transaction, or an empty tuple for a put or delete.
    """

    succeeded: bool
    revision: int
    results: tuple[tuple[StoreKeyValue, ...] | StoreTransactionResult, ...] = ()
