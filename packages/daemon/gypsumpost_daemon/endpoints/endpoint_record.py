"""The stored record of the desired state of one endpoint."""

import attrs
import cattrs
from result import Err, Ok, Result

from gypsumpost_daemon.lists.list_records import decode_record
from gypsumpost_daemon.store.store_key_value import StoreKeyValue

PREFIX = b"/gypsumpost/endpoints/"
PREFIX_END = b"/gypsumpost/endpoints0"
"""``0`` is the character after the slash, so the range contains exactly the prefixed keys."""

STARTED = "started"
STOPPED = "stopped"


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """Value of ``endpoints/<name>``.

    :param desired: ``started`` or ``stopped``.
    :param nonce: random id of the write; shows after a lost response whether it was applied.
    :param author: name of the operator.
    :param time: Unix time of the write in seconds.
    """

    desired: str
    nonce: str = ""
    author: str = ""
    time: float = 0.0


def get_endpoint_key(name: str) -> bytes:
    """Return the store key of an endpoint.

    :param name: name of the endpoint.
    """
    return PREFIX + name.encode()


def read_endpoint_name(key: bytes) -> str:
    """Return the name of the endpoint to which a store key belongs.

    :param key: the key.
    """
    return key.removeprefix(PREFIX).decode(errors="replace")


def read_endpoint_record(value: bytes) -> Result[EndpointRecord, str]:
    """Decode a record.

    :param value: the stored JSON.
    :returns: the record, or why it cannot be read.
    """
    try:
        return Ok(decode_record(value, EndpointRecord))
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(f"unreadable record: {error!r}")


def find_stopped(pairs: tuple[StoreKeyValue, ...]) -> frozenset[str]:
    """Return the names of the endpoints that operators have stopped.

    :param pairs: all keys and values below the prefix; unreadable records are ignored.
    """
    stopped = set()
    for pair in pairs:
        record = read_endpoint_record(pair.value)
        if isinstance(record, Ok) and record.ok_value.desired == STOPPED:
            stopped.add(read_endpoint_name(pair.key))
    return frozenset(stopped)
