"""The store's answer to a change that was made."""

import attrs

from gypsumpost_core.gateway.store_era import StoreEra


@attrs.frozen(kw_only=True)
class WriteAnswer:
    """A change that was made.

    :param revision: the store's revision after a transaction, 0 for a change of a lease.
    :param era: era of the store, ``None`` if the answer names none.
    """

    revision: int = 0
    era: StoreEra | None = None
