"""Store keys and JSON values of the lists."""

from typing import TypeVar

from cattrs.preconf.orjson import make_converter

from gypsumpost_core.lists.list_entry import EntryKey
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_daemon.store.store_transaction import StoreGet

PREFIX = "/gypsumpost/lists/"
HEAD_KEY = f"{PREFIX}head".encode()
HISTORY_PREFIX = f"{PREFIX}history/".encode()
HISTORY_END = f"{PREFIX}history0".encode()
"""End of the range of all keys below ``HISTORY_PREFIX``; ``0`` is the character after ``/``."""

REVISION_DIGITS = 12
"""Revisions in keys are zero-padded, so that the store returns the history in order."""

CONVERTER = make_converter()

T = TypeVar("T")


def get_entry_key(key: EntryKey) -> bytes:
    """Return the store key of an entry.

    :param key: the entry.
    """
    return f"{PREFIX}{key.kind.value}/{key.name}".encode()


def get_history_key(revision: int) -> bytes:
    """Return the store key of a history record.

    :param revision: the record's revision.
    """
    return HISTORY_PREFIX + str(revision).zfill(REVISION_DIGITS).encode()


def get_list_range(kind: ListKind) -> StoreGet:
    """Return the operation that reads all entries of one list.

    :param kind: the list.
    """
    prefix = f"{PREFIX}{kind.value}"
    return StoreGet(key=f"{prefix}/".encode(), range_end=f"{prefix}0".encode())


def encode_record(record: object) -> bytes:
    """Encode a head, an entry or a history record as JSON.

    :param record: the value.
    """
    return CONVERTER.dumps(record)


def decode_record(value: bytes, record_class: type[T]) -> T:
    """Decode a head, an entry or a history record from JSON.

    :param value: the JSON.
    :param record_class: class of the result.
    """
    return CONVERTER.loads(value, record_class)
