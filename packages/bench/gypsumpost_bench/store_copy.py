"""Copy of the stand-in store's state."""

import attrs

from gypsumpost_bench.store_lease import StoreLease
from gypsumpost_daemon.store.store_key_value import StoreKeyValue


@attrs.frozen(kw_only=True)
class StoreCopy:
    """The state at a moment.

    :param revision: the store's revision.
    :param keys: the key-value pairs.
    :param leases: the leases by id.
    :param lease_of: the lease of each key that has one.
    :param next_lease: id of the next lease.
    """

    revision: int
    keys: dict[bytes, StoreKeyValue]
    leases: dict[int, StoreLease]
    lease_of: dict[bytes, int]
    next_lease: int
