"""Stores whether operators want endpoints started or stopped."""

import secrets
import time

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.endpoints.endpoint_record import (
    EndpointRecord,
    get_endpoint_key,
    read_endpoint_record,
)
from gypsumpost_daemon.lists.edit_outcome import (
    EditAccepted,
    EditConflict,
    EditNotAccepted,
    EditOutcome,
    EditUnknown,
)
from gypsumpost_daemon.lists.list_records import encode_record
from gypsumpost_daemon.lists.stored_lists import get_read_pairs
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreGet,
    StorePut,
    StoreTransaction,
)

RETRY_SECONDS = 0.2
NONCE_BYTES = 16


class EndpointEditor:
    """Writes one endpoint's record by compare-and-swap.

    :param store: the platform's store.
    """

    def __init__(self, *, store: Store) -> None:
        self._store = store

    async def set_desired(
        self, name: str, desired: str, *, author: str, deadline: float
    ) -> EditOutcome:
        """Store the desired state of an endpoint.

        :param name: name of the endpoint.
        :param desired: ``started`` or ``stopped``.
        :param author: name of the operator who requested it.
        :param deadline: monotonic time in seconds at which to stop waiting for the store.
        """
        read = await self._read(get_endpoint_key(name), deadline)
        if isinstance(read, Err):
            return EditNotAccepted(reason=read.err_value.reason)
        nonce = secrets.token_hex(NONCE_BYTES)
        record = EndpointRecord(desired=desired, nonce=nonce, author=author, time=time.time())
        return await self._write(get_endpoint_key(name), read.ok_value, record, deadline)

    async def _read(self, key: bytes, deadline: float) -> Result[int, StoreFailure]:
        read = StoreTransaction(success=(StoreGet(key=key),))
        outcome = await self._store.run_transaction(read, deadline)
        if isinstance(outcome, Err):
            return outcome
        found = get_read_pairs(outcome.ok_value, 0)
        return Ok(found[0].mod_revision if found else 0)

    async def _write(
        self, key: bytes, expected_revision: int, record: EndpointRecord, deadline: float
    ) -> EditOutcome:
        # The condition can be met only once, so a retry after a lost response cannot overwrite a
        # later change by another operator.
        condition = StoreCompare(key=key, mod_revision=expected_revision)
        transaction = StoreTransaction(
            compare=(condition,),
            success=(StorePut(key=key, value=encode_record(record)),),
            failure=(StoreGet(key=key),),
        )
        reason, sent = "the deadline has passed", False
        while trio.current_time() < deadline:
            outcome = await self._store.run_transaction(transaction, deadline)
            if isinstance(outcome, Ok):
                if outcome.ok_value.succeeded:
                    return EditAccepted(revision=outcome.ok_value.revision)
                return _resolve_conflict(get_read_pairs(outcome.ok_value, 0), record.nonce)
            reason, sent = outcome.err_value.reason, sent or outcome.err_value.sent
            await trio.sleep_until(min(deadline, trio.current_time() + RETRY_SECONDS))
        if sent:
            return EditUnknown(nonce=record.nonce, reason=reason)
        return EditNotAccepted(reason=reason)


def _resolve_conflict(found: tuple[StoreKeyValue, ...], nonce: str) -> EditOutcome:
    if not found:
        return EditConflict(revision=0, difference="the record was removed")
    current = read_endpoint_record(found[0].value).unwrap_or(EndpointRecord(desired="unreadable"))
    if current.nonce == nonce:
        return EditAccepted(revision=found[0].mod_revision)
    difference = f"{current.author or 'another operator'} has set it to {current.desired}"
    return EditConflict(revision=found[0].mod_revision, difference=difference)
