"""The operators' wish for one endpoint, as the store keeps it."""

import attrs
import cattrs
from result import Err, Ok, Result

from gypsumpost_daemon.lists.list_records import decode_record
from gypsumpost_daemon.store.store_key_value import StoreKeyValue

PREFIX = b"/gypsumpost/endpoints/"
PREFIX_END = b"/gypsumpost/endpoints0"
"""The character after the slash, so that the range holds exactly the keys below the prefix."""

STARTED = "started"
STOPPED = "stopped"


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """Value of ``endpoints/<name>``.

    :param desired: ``started`` or ``stopped``.
    :param nonce: tells an operator whose answer was lost that the record is the own one.
    :param author: name of the operator.
    :param time: Unix time in seconds.
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
    """Return the name of the endpoint that a store key belongs to.

    :param key: the key.
    """
    return key.removeprefix(PREFIX).decode(errors="replace")


def read_endpoint_record(value: bytes) -> Result[EndpointRecord, str]:
    """Read a record.

    :param value: the stored JSON.
    """
    try:
        return Ok(decode_record(value, EndpointRecord))
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(f"unreadable record: {error!r}")


def find_stopped(pairs: tuple[StoreKeyValue, ...]) -> frozenset[str]:
    """Return the names of the endpoints that operators have stopped.

    :param pairs: all keys below the prefix.
    """
    stopped = set()
    for pair in pairs:
        record = read_endpoint_record(pair.value)
        if isinstance(record, Ok) and record.ok_value.desired == STOPPED:
            stopped.add(read_endpoint_name(pair.key))
    return frozenset(stopped)
