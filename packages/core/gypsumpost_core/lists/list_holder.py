"""The lists in force on a daemon."""

from collections.abc import Callable

from result import Err, Ok, Result

from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.missing_changes import MissingChanges

AdoptionPolicy = Callable[[Lists, Lists], bool]
"""Decides from the lists in force and a candidate whether to adopt the candidate."""


def is_newer(current: Lists, candidate: Lists) -> bool:
    """Return whether a candidate has a higher revision.

    :param current: the lists in force.
    :param candidate: the lists that arrived.
    """
    return candidate.revision > current.revision


class ListHolder:
    """Keeps the lists in force and never puts a lower revision in force.

    :param policy: decides which lists to adopt.
    """

    def __init__(self, *, policy: AdoptionPolicy = is_newer) -> None:
        self._policy = policy
        self.lists = Lists()

    def adopt(self, candidate: Lists) -> bool:
        """Put a snapshot in force if the policy says so.

        :param candidate: the snapshot.
        :returns: true if it was adopted.
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
        :returns: true if it was new, or what is missing before it.
        """
        applied = self.lists.apply(change)
        if isinstance(applied, Err):
            return applied
        return Ok(self.adopt(applied.ok_value))
