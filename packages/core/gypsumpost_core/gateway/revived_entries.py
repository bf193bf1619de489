"""Keeps endpoints out of use that had left before the store came back from an older copy."""

import math
from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.stored_item import StoredItem

REVIVED_SECONDS = 10.0
"""Longer than the three heartbeats after which the store removes the entry of an endpoint that
writes nothing, and the time in which an endpoint writes its entry again."""


@attrs.frozen(kw_only=True)
class RevivedEntry:
    """An entry that must not be used yet.

    :param revision: revision of the entry in the copy.
    :param use_at: monotonic time in seconds from which on it is used even if it is not written
        again.
    """

    revision: int
    use_at: float


@attrs.define(kw_only=True)
class RevivedEntries:
    """The entries in a copy whose removal was known."""

    _entries: dict[str, RevivedEntry] = attrs.field(factory=dict, init=False)

    def begin(self, revisions: Mapping[str, int], now: float) -> None:
        """Hold back the entries of a new copy, and no others.

        :param revisions: the revisions of the entries by key.
        :param now: monotonic time in seconds.
        """
        self._entries = {
            key: RevivedEntry(revision=revision, use_at=now + REVIVED_SECONDS)
            for key, revision in revisions.items()
        }

    def holds(self, item: StoredItem, now: float) -> bool:
        """Return true if an item must not be used, as it has not been written again.

        :param item: the latest write or removal of its key.
        :param now: monotonic time in seconds.
        """
        entry = self._entries.get(item.key)
        if entry is None:
            return False
        if item.value is None or item.revision != entry.revision or now >= entry.use_at:
            del self._entries[item.key]
            return False
        return True

    def release(self, key: str) -> None:
        """Hold back an entry no longer.

        :param key: its key.
        """
        self._entries.pop(key, None)

    def list_keys(self) -> list[str]:
        """Return the keys of the entries that are held back."""
        return list(self._entries)

    def list_due(self, now: float) -> list[str]:
        """Return the keys of the entries that have outlived their time.

        :param now: monotonic time in seconds.
        """
        return [key for key, entry in self._entries.items() if entry.use_at <= now]

    def compute_due(self) -> float:
        """Return the monotonic time at which the next entry is due, infinity if there is none."""
        return min((entry.use_at for entry in self._entries.values()), default=math.inf)
