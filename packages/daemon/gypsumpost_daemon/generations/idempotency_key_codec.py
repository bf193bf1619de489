"""Encoding of idempotency key entries for transfer between daemons."""

from typing import Any

from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.generations.idempotency_key_entry import IdempotencyKeyEntry

FIELDS = {
    "workspace": "workspace",
    "key": "key",
    "digest": "digest",
    "generation_id": "generationId",
    "home": "home",
    "copy": "copy",
    "created_at": "createdAt",
    "keep_until": "keepUntil",
}


def encode_entry(entry: IdempotencyKeyEntry, update: bool) -> bytes:
    """Encode an entry as a ``RegisterKey`` message.

    :param entry: the entry.
    :param update: true to replace an existing entry for the key.
    """
    fields = {schema: getattr(entry, name) for name, schema in FIELDS.items()}
    message = SCHEMA.RegisterKey.new_message(**fields, update=update)
    return bytes(message.to_bytes())


def read_entry(reader: Any) -> IdempotencyKeyEntry:
    """Read the entry from a ``RegisterKey`` message.

    :param reader: the message.
    """
    return IdempotencyKeyEntry(**{name: getattr(reader, schema) for name, schema in FIELDS.items()})
