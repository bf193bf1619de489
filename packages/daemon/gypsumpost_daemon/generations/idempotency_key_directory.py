"""The part of the directory of idempotency keys that this daemon stores for all daemons."""

import time

import attrs
import trio

from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.generations.idempotency_key_codec import encode_entry, read_entry
from gypsumpost_daemon.generations.idempotency_key_entry import IdempotencyKeyEntry
from gypsumpost_daemon.peers.peer_request import PeerRequest

EXPIRY_INTERVAL = 1.0
MAX_ENTRIES = 200_000
"""Limits the directory to 100 MB at about 500 bytes per entry."""


@attrs.define(kw_only=True)
class IdempotencyKeyDirectory:
    """Maps idempotency keys of workspaces to generations until the entries expire."""

    _entries: dict[tuple[str, str], IdempotencyKeyEntry] = attrs.field(factory=dict, init=False)

    @property
    def count(self) -> int:
        """Number of entries."""
        return len(self._entries)

    async def run(self) -> None:
        """Remove expired entries until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL)
            now = time.time()
            for entry_key in [p for p, entry in self._entries.items() if entry.keep_until < now]:
                del self._entries[entry_key]

    def register(self, entry: IdempotencyKeyEntry, update: bool) -> IdempotencyKeyEntry:
        """Add an entry unless the key already has one or the directory is full.

        :param entry: the entry.
        :param update: true to replace an existing entry for the key.
        :returns: the existing entry if it was not replaced, else the new one.
        """
        entry_key = (entry.workspace, entry.key)
        known = self._entries.get(entry_key)
        if known is not None and not update:
            return known
        if known is not None or len(self._entries) < MAX_ENTRIES:
            self._entries[entry_key] = entry
        return entry

    async def handle(self, request: PeerRequest) -> bytes:
        """Process a ``RegisterKey`` message and return the resulting entry of the key.

        :param request: the message.
        """
        with SCHEMA.RegisterKey.from_bytes(request.payload) as message:
            entry, update = read_entry(message), message.update
        return encode_entry(self.register(entry, update), update)
