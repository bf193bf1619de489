"""Types of writes to a stored claim."""

import enum


class ClaimOrderKind(enum.IntEnum):
    """The type of a claim order, a compare-and-swap on one key.

    ``CREATE`` writes if the key is absent. ``REPLACE`` and ``REMOVE`` apply if the stored value
    is the expected one.
    """

    CREATE = 1
    REPLACE = 2
    REMOVE = 3
