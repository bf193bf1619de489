"""Result of a transaction of the platform's store."""

from __future__ import annotations

import attrs

from gypsumpost_daemon.store.store_key_value import StoreKeyValue


@attrs.frozen(kw_only=True)
class StoreTransactionResult:
    """What a transaction did.

    :param succeeded: true if all conditions held.
    :param revision: revision of the store after the transaction.
    :param results: for each operation run: the keys of a get, the result of a nested
        transaction, or an empty tuple for a put or delete.
    """

    succeeded: bool
    revision: int
    results: tuple[tuple[StoreKeyValue, ...] | StoreTransactionResult, ...] = ()
