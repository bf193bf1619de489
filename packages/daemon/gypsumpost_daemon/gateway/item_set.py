"""All items under one prefix."""

import attrs

from gypsumpost_core.gateway.stored_item import StoredItem


@attrs.frozen(kw_only=True)
class ItemSet:
    """The items of a directory.

    :param prefix: beginning of their keys.
    :param revision: revision up to which they are complete.
    :param items: the items that exist.
    """

    prefix: str
    revision: int
    items: tuple[StoredItem, ...]
