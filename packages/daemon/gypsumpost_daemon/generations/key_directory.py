"""Idempotency keys that this daemon keeps for all daemons."""

import time

import attrs
import trio

from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.generations.key_codec import encode_entry, read_entry
from gypsumpost_daemon.generations.key_entry import KeyEntry
from gypsumpost_daemon.peers.peer_request import PeerRequest

EXPIRY_INTERVAL = 1.0
MAX_ENTRIES = 200_000
"""At about 500 bytes an entry this bounds the directory at 100 MB."""


@attrs.define(kw_only=True)
class KeyDirectory:
    """Maps keys to generations until their deadline."""

    _entries: dict[tuple[str, str], KeyEntry] = attrs.field(factory=dict, init=False)

    @property
    def count(self) -> int:
        """Number of entries."""
        return len(self._entries)

    async def run(self) -> None:
        """Drop entries whose deadline has passed, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL)
            now = time.time()
            for place in [p for p, entry in self._entries.items() if entry.keep_until < now]:
                del self._entries[place]

    def register(self, entry: KeyEntry, update: bool) -> KeyEntry:
        """Add an entry unless the key has one.

        :param entry: the entry.
        :param update: true to replace an entry of the key.
        :returns: the entry that the key has now.
        """
        place = (entry.workspace, entry.key)
        known = self._entries.get(place)
        if known is not None and not update:
            return known
        if known is not None or len(self._entries) < MAX_ENTRIES:
            self._entries[place] = entry
        return entry

    async def handle(self, request: PeerRequest) -> bytes:
        """Answer a ``RegisterKey`` message with the entry that the key has.

        :param request: the message.
        """
        with SCHEMA.RegisterKey.from_bytes(request.payload) as message:
            entry, update = read_entry(message), message.update
        return encode_entry(self.register(entry, update), update)
