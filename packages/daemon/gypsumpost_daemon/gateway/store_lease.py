"""A lease of the store."""

import attrs


@attrs.frozen(kw_only=True)
class StoreLease:
    """A lease; the items written under it are removed when it ends.

    :param lease_id: its number.
    :param seconds: time from the arrival of a renewal until it ends.
    """

    lease_id: int
    seconds: float
