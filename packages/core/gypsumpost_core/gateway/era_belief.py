"""Decides which era of the store a host believes in.

The load pattern: the store comes back from an older copy, and answers of the former era are still
under way; or a single answer names a wrong era.
"""

import enum
import math
import time
from collections.abc import Callable

import attrs

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra

MAX_RISE = 1_000
"""The store's era rises by one at a time, and a host that was cut off may miss several."""


class EraVerdict(enum.Enum):
    """What an answer is worth.

    ``CURRENT``: it is of the believed era, or names none.
    ``UNCONFIRMED``: it names a higher era, which no other answer has named yet.
    ``FORMER``: it names a lower era.
    ``UNLIKELY``: it names an era that is too high to be believed.
    """

    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"
    FORMER = "former"
    UNLIKELY = "unlikely"


@attrs.define(kw_only=True)
class EraBelief:
    """Believes a higher era when two answers in a row name it.

    :param read_clock: returns the monotonic time in seconds.
    :ivar era: the believed era.
    :ivar believed_at: monotonic time in seconds since which it is believed.
    :ivar sightings: answers so far that named a higher era which was not believed yet.
    """

    read_clock: Callable[[], float] = time.monotonic
    era: StoreEra = attrs.field(default=NO_ERA, init=False)
    believed_at: float = attrs.field(default=-math.inf, init=False)
    sightings: int = attrs.field(default=0, init=False)
    _candidate: StoreEra = attrs.field(default=NO_ERA, init=False)

    def observe(self, era: StoreEra | None) -> EraVerdict:
        """Return what an answer of the store is worth, and believe its era if that is confirmed.

        :param era: the era that the answer names, ``None`` if it names none.
        """
        if era is None:
            return EraVerdict.CURRENT
        if self.is_unlikely(era):
            return EraVerdict.UNLIKELY
        if era > self.era and era != self._candidate:
            self._candidate = era
            self.sightings += 1
            return EraVerdict.UNCONFIRMED
        self._candidate = NO_ERA
        if era < self.era:
            return EraVerdict.FORMER
        self._believe(era)
        return EraVerdict.CURRENT

    def adopt(self, era: StoreEra) -> None:
        """Believe an era that a peer has had confirmed, unless it is too high.

        :param era: the era.
        """
        if not self.is_unlikely(era):
            self._believe(era)

    def is_unlikely(self, era: StoreEra) -> bool:
        """Return true if an era is too high to be believed.

        :param era: the era.
        """
        return self.era != NO_ERA and era > self.era + MAX_RISE

    def _believe(self, era: StoreEra) -> None:
        if era > self.era:
            self.era, self._candidate = era, NO_ERA
            self.believed_at = self.read_clock()
