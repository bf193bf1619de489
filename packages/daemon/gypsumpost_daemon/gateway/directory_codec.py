"""Cap'n Proto codec of the directory that hosts exchange."""

from collections.abc import Iterable
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.directory_query import DirectoryQuery
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.gateway.peer_schema import SCHEMA
from gypsumpost_daemon.gateway.value_compression import (
    MIN_BYTES,
    compress_value,
    decompress_value,
)


def encode_directory_query(query: DirectoryQuery) -> bytes:
    """Return the request for a peer's directory as packed bytes.

    :param query: what the sender has.
    """
    packed: bytes = SCHEMA.DirectoryRequest.new_message(
        known=[
            {"prefix": prefix, "revision": position.revision, "era": position.era}
            for prefix, position in query.known.items()
        ],
        acceptsKept=query.accepts_kept,
        acceptsCompressed=query.accepts_compressed,
    ).to_bytes_packed()
    return packed


def decode_directory_query(data: bytes) -> Result[DirectoryQuery, str]:
    """Return a peer's request for the directory, or a decoding error.

    :param data: the packed bytes.
    """
    try:
        message = SCHEMA.DirectoryRequest.from_bytes_packed(data)
        return Ok(
            DirectoryQuery(
                known={
                    entry.prefix: StorePosition(era=StoreEra(entry.era), revision=entry.revision)
                    for entry in message.known
                },
                accepts_kept=message.acceptsKept,
                accepts_compressed=message.acceptsCompressed,
            )
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(str(error).partition("\n")[0])


def encode_state(sets: Iterable[ItemSet], *, compressed: bool = False) -> bytes:
    """Return the items of a directory as packed bytes.

    :param sets: the items by prefix.
    :param compressed: true to compress large values.
    """
    packed: bytes = SCHEMA.DirectoryState.new_message(
        sets=[
            {
                "prefix": entry.prefix,
                "revision": entry.revision,
                "era": entry.era,
                "partial": entry.partial,
                "kept": list(entry.kept),
                "items": [encode_item(item, compressed=compressed) for item in entry.items],
            }
            for entry in sets
        ]
    ).to_bytes_packed()
    return packed


def decode_state(data: bytes) -> Result[list[ItemSet], str]:
    """Return the items of a peer's directory, or why they cannot be decoded.

    :param data: the packed bytes.
    """
    try:
        message = SCHEMA.DirectoryState.from_bytes_packed(data, traversal_limit_in_words=2**24)
        return Ok(
            [
                ItemSet(
                    prefix=entry.prefix,
                    revision=entry.revision,
                    era=StoreEra(entry.era),
                    partial=entry.partial,
                    kept=tuple(entry.kept),
                    items=tuple(decode_item(item) for item in entry.items),
                )
                for entry in message.sets
            ]
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(str(error).partition("\n")[0])


def encode_item(item: StoredItem, *, compressed: bool) -> dict[str, Any]:
    """Return an item as fields of the schema's ``Item``.

    :param item: the item.
    :param compressed: true to compress its value if that is large.
    """
    value = item.value or b""
    compressed = compressed and len(value) >= MIN_BYTES
    return {
        "key": item.key,
        "revision": item.revision,
        "present": item.value is not None,
        "value": compress_value(value) if compressed else value,
        "compressed": compressed,
    }


def decode_item(message: Any) -> StoredItem:
    """Return the item in a message.

    :param message: the schema's ``Item``.
    :raises ValueError: if its value cannot be decompressed.
    """
    value: bytes | None = None
    if message.present:
        value = bytes(message.value)
        if message.compressed:
            value = decompress_value(value)
    return StoredItem(key=message.key, revision=message.revision, value=value)
