"""All items under one prefix, or the changes since a revision."""

import attrs

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem


@attrs.frozen(kw_only=True)
class ItemSet:
    """Items of a directory under one prefix.

    :param prefix: prefix of their keys.
    :param revision: revision up to which they are complete.
    :param items: the existing items, or the changes including removals.
    :param partial: true if these are only the changes since the requested revision.
    :param kept: keys of existing items that are left out, because the receiver has them as they
        are; empty if ``partial``.
    :param era: era of the store to which all revisions belong.
    """

    prefix: str
    revision: int
    items: tuple[StoredItem, ...]
    partial: bool = False
    kept: tuple[str, ...] = ()
    era: StoreEra = NO_ERA
