"""What a read of a lease found."""

import attrs

from gypsumpost_core.placement.lease_record import LeaseRecord


@attrs.frozen(kw_only=True)
class LeaseView:
    """The record and whether its lease is in force.

    :param record: the stored record, ``None`` before the first taking.
    :param revision: store revision of the record, 0 if there is none.
    :param held: true if the key under the store's lease exists.
    """

    record: LeaseRecord | None
    revision: int
    held: bool
