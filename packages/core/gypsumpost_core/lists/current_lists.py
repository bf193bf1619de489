"""The current lists of a daemon."""

from collections.abc import Callable

from result import Err, Ok, Result

from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.missing_changes import MissingChanges

AdoptionPolicy = Callable[[Lists, Lists], bool]
"""Returns whether a candidate (second argument) may replace the current lists (first)."""


def is_newer(current: Lists, candidate: Lists) -> bool:
    """Return whether a candidate has a higher revision.

    :param current: the current lists.
    :param candidate: the received lists.
    """
    return candidate.revision > current.revision


class CurrentLists:
    """Holds the current lists and never reverts to a lower revision.

    :param policy: decides whether a snapshot replaces the current lists.
    """

    def __init__(self, *, policy: AdoptionPolicy = is_newer) -> None:
        self._policy = policy
        self.lists = Lists()

    def adopt(self, candidate: Lists) -> bool:
        """Replace the current lists by a snapshot if the policy permits it.

        :param candidate: the snapshot.
        :returns: true if the lists were replaced.
        :raises BrokenInvariant: if the policy permits a revision that is not higher.
        """
        if not self._policy(self.lists, candidate):
            return False
        state = (self.lists.revision, candidate.revision)
        require(Invariant.NO_REVERT, candidate.revision > self.lists.revision, state)
        self.lists = candidate
        return True

    def apply(self, change: ListChange) -> Result[bool, MissingChanges]:
        """Apply a change.

        :param change: the change.
        :returns: true if it was new, or the gap if changes before it are missing.
        """
        applied = self.lists.apply(change)
        if isinstance(applied, Err):
            return applied
        return Ok(self.adopt(applied.ok_value))
