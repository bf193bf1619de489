"""Recent changes, kept for peers that miss some."""

import collections

from gypsumpost_core.lists.list_change import ListChange


class ChangeLog:
    """Keeps the last changes in the order of their revisions.

    :param capacity: number of changes to keep.
    """

    def __init__(self, *, capacity: int) -> None:
        self._changes: collections.deque[ListChange] = collections.deque(maxlen=capacity)

    def append(self, change: ListChange) -> None:
        """Add the next change.

        :param change: the change.
        """
        self._changes.append(change)

    def clear(self) -> None:
        """Forget all changes, because revisions between them and the next are not known."""
        self._changes.clear()

    def find_since(self, revision: int) -> tuple[ListChange, ...] | None:
        """Return the changes after a revision, ``None`` if some of them are not kept.

        :param revision: the last revision that the receiver has.
        """
        if not self._changes or self._changes[0].revision > revision + 1:
            return None
        return tuple(change for change in self._changes if change.revision > revision)
