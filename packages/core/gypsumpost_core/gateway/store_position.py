"""Place in the history of the platform's store."""

import attrs

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra

REVISION_BITS = 39
"""Bits of a token that hold the revision; the era has the 24 bits above them, so that a token fits
into 63 bits."""


@attrs.frozen(kw_only=True, order=True)
class StorePosition:
    """A revision within an era; positions are ordered by era first.

    :param era: the era.
    :param revision: the revision.
    """

    era: StoreEra = NO_ERA
    revision: int = 0

    def to_token(self) -> int:
        """Return a number that is higher for a later position.

        It is the revision itself where the store names no era.
        """
        return self.era << REVISION_BITS | self.revision


def read_token(token: int) -> StorePosition:
    """Return the position from which a token was made.

    :param token: the token.
    """
    era, revision = divmod(token, 1 << REVISION_BITS)
    return StorePosition(era=StoreEra(era), revision=revision)
