"""Era of the platform's store, which rises when the store comes back from an older copy."""

from typing import NewType

StoreEra = NewType("StoreEra", int)
"""Number of an era. Revisions are comparable only within one era."""

NO_ERA = StoreEra(0)
"""Era of a store that names none."""

MAX_ERA = 2**24 - 1
"""Highest era that is read, so that a position fits into one number."""

MAX_DIGITS = 12


def parse_era(value: bytes) -> StoreEra | None:
    """Return the era that a header names, ``None`` if it is no whole number up to ``MAX_ERA``.

    :param value: value of the header.
    """
    if value.isdigit() and len(value) <= MAX_DIGITS and int(value) <= MAX_ERA:
        return StoreEra(int(value))
    return None
