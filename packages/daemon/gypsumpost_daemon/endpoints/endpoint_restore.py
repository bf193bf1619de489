"""Stores the newest known records of endpoints again after a restore of the store."""

from collections.abc import Mapping, Sequence

import attrs
from result import Err, Ok, Result

from gypsumpost_daemon.endpoints.endpoint_record import (
    EndpointRecord,
    get_endpoint_key,
    read_endpoint_name,
    read_endpoint_record,
)
from gypsumpost_daemon.lists.list_records import encode_record
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import StoreCompare, StorePut, StoreTransaction

MAX_RECORDS = 100
"""Records stored in one transaction; the rest follows after the next read."""


@attrs.frozen(kw_only=True)
class LostRecord:
    """A record that the store has lost.

    :param name: name of the endpoint.
    :param record: the record.
    :param revision: store revision of the older record in its place, 0 if there is none.
    """

    name: str
    record: EndpointRecord
    revision: int


def read_records(pairs: Sequence[StoreKeyValue]) -> dict[str, EndpointRecord]:
    """Return the readable records by name of the endpoint.

    :param pairs: keys and values below the prefix.
    """
    decoded = {read_endpoint_name(pair.key): read_endpoint_record(pair.value) for pair in pairs}
    return {name: record.ok_value for name, record in decoded.items() if isinstance(record, Ok)}


def find_lost_records(
    known: Mapping[str, EndpointRecord], pairs: Sequence[StoreKeyValue]
) -> list[LostRecord]:
    """Return the known records that are missing or older in the store.

    A record that an operator has written since the restore is newer by its time.

    :param known: the records before the restore, by name of the endpoint.
    :param pairs: all keys and values below the prefix.
    """
    stored = read_records(pairs)
    revisions = {read_endpoint_name(pair.key): pair.mod_revision for pair in pairs}
    return [
        LostRecord(name=name, record=record, revision=revisions.get(name, 0))
        for name, record in known.items()
        if name not in stored or stored[name].time < record.time
    ]


async def restore_records(
    store: Store, lost: Sequence[LostRecord], deadline: float
) -> Result[None, StoreFailure]:
    """Store lost records where nobody has written since they were found to be lost.

    :param store: the platform's store.
    :param lost: the records.
    :param deadline: monotonic time in seconds at which to stop waiting.
    """
    writes = tuple(_build_write(record) for record in lost[:MAX_RECORDS])
    done = await store.run_transaction(StoreTransaction(success=writes), deadline)
    return done if isinstance(done, Err) else Ok(None)


def _build_write(lost: LostRecord) -> StoreTransaction:
    key = get_endpoint_key(lost.name)
    return StoreTransaction(
        compare=(StoreCompare(key=key, mod_revision=lost.revision),),
        success=(StorePut(key=key, value=encode_record(lost.record)),),
    )
