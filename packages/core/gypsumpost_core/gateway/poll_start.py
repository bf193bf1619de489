"""Chooses the revision after which a poll of the store asks for changes.

The load pattern: a store that is slow ends the short wait of a poll before it has looked for
changes, and names its newest revision with the empty answer.
"""

import math

import attrs

from gypsumpost_core.gateway.store_position import StorePosition

OVERLAP_SECONDS = 4.0
"""For how long polls ask again for what an empty answer has covered. The store keeps its history
for longer than twice this time."""


@attrs.define(kw_only=True)
class PollStart:
    """Moves the start of the polls of a prefix behind the revisions of empty answers.

    A poll that has missed a change is then repaired by the next one.
    """

    _next: StorePosition = attrs.field(factory=StorePosition, init=False)
    _answered_at: float = attrs.field(default=-math.inf, init=False)

    def advance(self, position: StorePosition, revision: int, now: float) -> int:
        """Return the revision after which to ask, after an answer without changes.

        :param position: the position after which the answered poll has asked.
        :param revision: the store's revision in the answer.
        :param now: monotonic time in seconds.
        """
        outdated = self._next.era != position.era or self._next.revision <= position.revision
        if not outdated and now < self._answered_at + OVERLAP_SECONDS:
            return position.revision
        start = position.revision if outdated else self._next.revision
        self._next = StorePosition(era=position.era, revision=revision)
        self._answered_at = now
        return start
