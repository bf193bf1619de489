"""Reads the lists and their history from the store."""

import attrs
from result import Err, Ok, Result

from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan
from gypsumpost_daemon.lists.list_head import ListHead
from gypsumpost_daemon.lists.list_records import (
    HEAD_KEY,
    decode_record,
    get_history_key,
    get_list_range,
)
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import StoreGet, StoreTransaction
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult


@attrs.frozen(kw_only=True)
class StoredLists:
    """A consistent snapshot of the lists in the store.

    :param lists: the lists.
    :param head_revision: store revision of the last write to the head, 0 if there is no head.
    :param store_revision: store revision of the snapshot; a watch starts at the next one.
    """

    lists: Lists
    head_revision: int
    store_revision: int


def get_read_pairs(result: StoreTransactionResult, index: int) -> tuple[StoreKeyValue, ...]:
    """Return the key-value pairs read by one operation of a transaction.

    :param result: result of the transaction.
    :param index: position of the operation, a ``StoreGet``.
    """
    found = result.results[index]
    assert isinstance(found, tuple)
    return found


async def read_lists(store: Store, deadline: float) -> Result[StoredLists, StoreFailure]:
    """Read both lists in one transaction.

    :param store: the platform's store.
    :param deadline: monotonic time in seconds at which to stop waiting.
    """
    reads = (
        StoreGet(key=HEAD_KEY),
        get_list_range(ListKind.PLANS),
        get_list_range(ListKind.ALLOWANCES),
    )
    done = await store.run_transaction(StoreTransaction(success=reads), deadline)
    if isinstance(done, Err):
        return done
    result = done.ok_value
    heads = get_read_pairs(result, 0)
    plans = [decode_record(pair.value, WorkspacePlan) for pair in get_read_pairs(result, 1)]
    allowances = [decode_record(pair.value, Allowance) for pair in get_read_pairs(result, 2)]
    lists = Lists(
        revision=decode_record(heads[0].value, ListHead).revision if heads else 0,
        plans={entry.name: entry for entry in plans},
        allowances={entry.name: entry for entry in allowances},
    )
    return Ok(
        StoredLists(
            lists=lists,
            head_revision=heads[0].mod_revision if heads else 0,
            store_revision=result.revision,
        )
    )


async def read_history(
    store: Store, first: int, last: int, deadline: float
) -> Result[list[HistoryRecord], StoreFailure]:
    """Read history records, oldest first.

    :param store: the platform's store.
    :param first: lowest revision.
    :param last: highest revision.
    :param deadline: monotonic time in seconds at which to stop waiting.
    """
    read = StoreGet(key=get_history_key(first), range_end=get_history_key(last + 1))
    done = await store.run_transaction(StoreTransaction(success=(read,)), deadline)
    if isinstance(done, Err):
        return done
    found = get_read_pairs(done.ok_value, 0)
    return Ok([decode_record(pair.value, HistoryRecord) for pair in found])
