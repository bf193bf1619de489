"""A lease of the store."""

import attrs

from gypsumpost_core.gateway.store_era import StoreEra


@attrs.frozen(kw_only=True)
class StoreLease:
    """A lease; the items written under it are removed when it ends.

    :param lease_id: its number.
    :param seconds: time from the arrival of a renewal until it ends.
    :param era: era of the store in which it was opened, ``None`` if the answer names none.
    """

    lease_id: int
    seconds: float
    era: StoreEra | None = None
