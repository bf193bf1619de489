"""A daemon's replica of the lists."""

from result import Err

from gypsumpost_core.lists.change_log import ChangeLog
from gypsumpost_core.lists.current_lists import CurrentLists
from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.list_update import ListUpdate
from gypsumpost_core.lists.lists import Lists

LOG_CAPACITY = 1000
"""Changes kept in memory: about an hour at 19,000 changes a day, a few hundred kilobytes."""


class ListReplica:
    """The current lists, a log of recent changes and the time of the last store contact."""

    def __init__(self) -> None:
        self._current = CurrentLists()
        self._log = ChangeLog(capacity=LOG_CAPACITY)
        self.store_seen_at = 0.0

    @property
    def lists(self) -> Lists:
        """The current lists."""
        return self._current.lists

    @property
    def revision(self) -> int:
        """The current revision."""
        return self._current.lists.revision

    def record_store_contact(self, unix_time: float) -> None:
        """Record a contact with the store by this daemon or another one.

        :param unix_time: Unix time in seconds of the contact.
        """
        self.store_seen_at = max(self.store_seen_at, unix_time)

    def apply(self, change: ListChange) -> bool:
        """Apply a change.

        :param change: the change.
        :returns: false if changes before it are missing.
        """
        applied = self._current.apply(change)
        if isinstance(applied, Err):
            return False
        if applied.ok_value:
            self._log.append(change)
        return True

    def adopt(self, lists: Lists) -> None:
        """Replace the lists by a snapshot if it is newer; this clears the change log.

        :param lists: the snapshot.
        """
        if self._current.adopt(lists):
            self._log.clear()

    def merge(self, update: ListUpdate) -> bool:
        """Apply a peer's update.

        :param update: the peer's message.
        :returns: false if the peer's revision is still higher than this daemon's.
        """
        self.record_store_contact(update.store_seen_at)
        if update.snapshot is not None:
            self.adopt(update.snapshot)
        for change in update.changes:
            self.apply(change)
        return self.revision >= update.revision

    def create_revision_message(self) -> ListUpdate:
        """Return a message with this daemon's revision only."""
        return ListUpdate(revision=self.revision, store_seen_at=self.store_seen_at)

    def create_update(self, known: int) -> ListUpdate:
        """Return a message that brings a peer up to date: changes, or a snapshot if it is too old.

        :param known: the peer's revision.
        """
        if known >= self.revision:
            return self.create_revision_message()
        changes = self._log.find_since(known)
        return ListUpdate(
            revision=self.revision,
            store_seen_at=self.store_seen_at,
            changes=changes or (),
            snapshot=self.lists if changes is None else None,
        )
