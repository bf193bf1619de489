"""Log of recent changes, for peers that are behind."""

import collections

from gypsumpost_core.lists.list_change import ListChange


class ChangeLog:
    """The most recent changes in order of their revisions, without gaps.

    :param capacity: maximum number of changes.
    """

    def __init__(self, *, capacity: int) -> None:
        self._changes: collections.deque[ListChange] = collections.deque(maxlen=capacity)

    def append(self, change: ListChange) -> None:
        """Add the next change; the oldest one is dropped at full capacity.

        :param change: the change; its revision must follow the last one.
        """
        self._changes.append(change)

    def clear(self) -> None:
        """Remove all changes, as revisions between them and the next one are missing."""
        self._changes.clear()

    def find_since(self, revision: int) -> tuple[ListChange, ...] | None:
        """Return the changes after a revision, ``None`` if some of them are not in the log.

        :param revision: the receiver's revision.
        """
        if not self._changes or self._changes[0].revision > revision + 1:
            return None
        return tuple(change for change in self._changes if change.revision > revision)
