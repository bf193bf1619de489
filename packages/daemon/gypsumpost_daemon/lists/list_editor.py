"""Validation and storage of the operators' edits of the lists."""

import secrets
import time
from collections.abc import Callable

import trio
from result import Err

from gypsumpost_core.gateway.store_era import NO_ERA
from gypsumpost_core.lists.entry_edit import EntryEdit
from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_check import MAX_EDITED_ENTRIES, check_lists, check_size
from gypsumpost_core.lists.list_difference import compute_difference, format_edits, undo_edits
from gypsumpost_core.lists.list_error import ListError
from gypsumpost_core.lists.list_file import parse_list
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.lists.edit_outcome import (
    EditAccepted,
    EditConflict,
    EditNotAccepted,
    EditOutcome,
    EditRefused,
    EditUnknown,
)
from gypsumpost_daemon.lists.list_head import ListHead
from gypsumpost_daemon.lists.list_records import (
    HEAD_KEY,
    HISTORY_PREFIX,
    decode_record,
    encode_record,
    get_entry_key,
    get_history_key,
)
from gypsumpost_daemon.lists.stored_lists import (
    StoredLists,
    get_read_pairs,
    read_history,
    read_lists,
)
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreDelete,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)

HISTORY_REVISIONS = 20_000
"""History records kept in the store: about a day at 19,000 changes a day, about 10 MB."""

OUTDATED = "the newest lists are being stored again, or not known at this host yet; edit them later"

RETRY_SECONDS = 0.2
NONCE_BYTES = 16


class ListEditor:
    """Validates edits and stores them by compare-and-swap on the head.

    :param store: the platform's store.
    :param get_known_revision: returns the revision of this host's lists, ``None`` if it has not
        read any yet; edits of older lists are not accepted, as the store has come back from an
        older copy. ``None`` accepts them.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    :param create_nonce: returns a new nonce for each edit.
    """

    def __init__(
        self,
        *,
        store: Store,
        get_known_revision: Callable[[], int | None] | None = None,
        eras: EraMonitor | None = None,
        create_nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES),
    ) -> None:
        self._store = store
        self._get_known_revision = get_known_revision
        self._eras = eras or EraMonitor()
        self._create_nonce = create_nonce

    async def replace_list(
        self, kind: ListKind, text: str, *, base: int, author: str, deadline: float
    ) -> EditOutcome:
        """Replace a whole list.

        :param kind: the list.
        :param text: the new list as TOML.
        :param base: the revision on which the edit is based.
        :param author: name of the operator.
        :param deadline: monotonic time in seconds at which to stop waiting for the store.
        """
        parsed = parse_list(kind, text)
        if isinstance(parsed, Err):
            return EditRefused(errors=tuple(parsed.err_value))
        read = await read_lists(self._store, deadline)
        if isinstance(read, Err):
            return EditNotAccepted(reason=read.err_value.reason)
        edited = read.ok_value.lists.replace(kind, parsed.ok_value)
        if self._is_outdated(read.ok_value):
            return EditNotAccepted(reason=OUTDATED)
        if read.ok_value.lists.revision != base:
            return _describe_conflict(read.ok_value.lists, edited)
        return await self._store_lists(read.ok_value, edited, text, author, deadline)

    async def undo(
        self, kind: ListKind, revision: int, *, author: str, deadline: float
    ) -> EditOutcome:
        """Revert the changes of one revision to a list.

        :param kind: the list.
        :param revision: the revision to revert.
        :param author: name of the operator.
        :param deadline: monotonic time in seconds at which to stop waiting for the store.
        """
        read = await read_lists(self._store, deadline)
        history = await read_history(self._store, revision, revision, deadline)
        if isinstance(read, Err):
            return EditNotAccepted(reason=read.err_value.reason)
        if isinstance(history, Err):
            return EditNotAccepted(reason=history.err_value.reason)
        edits = tuple(e for record in history.ok_value for e in record.edits if e.key.kind is kind)
        if not edits:
            message = f"revision {revision} changed no entry of {kind.value} or is not kept"
            return EditRefused(errors=(ListError(line=0, field=kind.value, message=message),))
        undone = undo_edits(edits, read.ok_value.lists)
        if isinstance(undone, Err):
            difference = format_edits(undone.err_value)
            return EditConflict(revision=read.ok_value.lists.revision, difference=difference)
        return await self._store_lists(read.ok_value, undone.ok_value, "", author, deadline)

    async def _store_lists(
        self, current: StoredLists, edited: Lists, text: str, author: str, deadline: float
    ) -> EditOutcome:
        if self._is_outdated(current):
            return EditNotAccepted(reason=OUTDATED)
        edits = compute_difference(current.lists, edited)
        errors = check_lists(edited, ListLines(text=text)) or check_size(edits)
        if errors:
            return EditRefused(errors=tuple(errors))
        if not edits:
            return EditAccepted(revision=current.lists.revision)
        record = HistoryRecord(
            revision=current.lists.revision + 1,
            nonce=self._create_nonce(),
            author=author,
            time=time.time(),
            edits=edits,
        )
        return await self._write(current, record, edited, deadline)

    def _is_outdated(self, stored: StoredLists) -> bool:
        if self._get_known_revision is None or self._eras.era == NO_ERA:
            return False
        known, revision = self._get_known_revision(), stored.lists.revision
        return revision > 0 if known is None else revision < known

    async def _write(
        self, current: StoredLists, record: HistoryRecord, edited: Lists, deadline: float
    ) -> EditOutcome:
        # The same transaction is retried until the store replies. Its condition holds at most once;
        # when it no longer holds, the nonce in the history record shows whether this edit wrote the
        # revision. A read alone is not enough: a lost call can still take effect after the read.
        transaction = create_edit_transaction(current, record)
        reason, sent = "the deadline has passed", False
        while trio.current_time() < deadline:
            done = await self._store.run_transaction(transaction, deadline)
            if isinstance(done, Err):
                reason, sent = done.err_value.reason, sent or done.err_value.sent
                await trio.sleep_until(min(deadline, trio.current_time() + RETRY_SECONDS))
                continue
            if done.ok_value.succeeded:
                return EditAccepted(revision=record.revision)
            records = get_read_pairs(done.ok_value, 0)
            if not records:
                # The head has changed, but its record has been trimmed from the history.
                return EditUnknown(nonce=record.nonce, reason="the history record is not kept")
            if decode_record(records[0].value, HistoryRecord).nonce == record.nonce:
                return EditAccepted(revision=record.revision)
            return await self._report_conflict(record, edited, deadline)
        if sent:
            return EditUnknown(nonce=record.nonce, reason=reason)
        return EditNotAccepted(reason=reason)

    async def _report_conflict(
        self, record: HistoryRecord, edited: Lists, deadline: float
    ) -> EditOutcome:
        read = await read_lists(self._store, deadline)
        if isinstance(read, Err):
            return EditConflict(revision=record.revision, difference="")
        return _describe_conflict(read.ok_value.lists, edited)


def _describe_conflict(current: Lists, edited: Lists) -> EditConflict:
    difference = format_edits(compute_difference(current, edited))
    return EditConflict(revision=current.revision, difference=difference)


def create_edit_transaction(current: StoredLists, record: HistoryRecord) -> StoreTransaction:
    """Return the transaction that stores a revision if the head has not changed.

    :param current: the lists in the store.
    :param record: the revision, with any number of edits.
    """
    condition = (
        StoreCompare(key=HEAD_KEY, mod_revision=current.head_revision)
        if current.head_revision
        else StoreCompare(key=HEAD_KEY, create_revision=0)
    )
    head = ListHead(
        revision=record.revision, nonce=record.nonce, author=record.author, time=record.time
    )
    history_key = get_history_key(record.revision)
    trim_end = get_history_key(max(0, record.revision - HISTORY_REVISIONS))
    operations: tuple[StoreOperation, ...] = (
        StorePut(key=HEAD_KEY, value=encode_record(head)),
        StorePut(key=history_key, value=encode_record(record)),
        StoreDelete(key=HISTORY_PREFIX, range_end=trim_end),
    )
    return StoreTransaction(
        compare=(condition,),
        success=operations + _create_operations(record.edits),
        failure=(StoreGet(key=history_key),),
    )


def _create_operations(edits: tuple[EntryEdit, ...]) -> tuple[StoreOperation, ...]:
    # The limit of operations in a transaction holds for each level of nesting.
    operations = tuple(map(_create_operation, edits))
    if len(operations) <= MAX_EDITED_ENTRIES:
        return operations
    return tuple(
        StoreTransaction(success=operations[start : start + MAX_EDITED_ENTRIES])
        for start in range(0, len(operations), MAX_EDITED_ENTRIES)
    )


def _create_operation(edit: EntryEdit) -> StoreOperation:
    key = get_entry_key(edit.key)
    if edit.after is None:
        return StoreDelete(key=key)
    return StorePut(key=key, value=encode_record(edit.after))
