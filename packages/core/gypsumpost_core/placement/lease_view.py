"""Result of reading a lease from the store."""

import attrs

from gypsumpost_core.placement.lease_record import LeaseRecord


@attrs.frozen(kw_only=True)
class LeaseView:
    """The stored record, and whether the lease is currently held.

    :param record: the stored record, ``None`` if the lease was never acquired.
    :param revision: store revision of the record, 0 if there is none.
    :param held: true if the key attached to the store's lease exists.
    """

    record: LeaseRecord | None
    revision: int
    held: bool
