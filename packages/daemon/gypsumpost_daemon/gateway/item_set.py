"""All items under one prefix, or the changes since a revision."""

import attrs

from gypsumpost_core.gateway.stored_item import StoredItem


@attrs.frozen(kw_only=True)
class ItemSet:
    """The items of a directory.

    :param prefix: beginning of their keys.
    :param revision: revision up to which they are complete.
    :param items: the items that exist, or the changes with removed items.
    :param partial: true if these are only the changes since the revision that was asked for.
    """

    prefix: str
    revision: int
    items: tuple[StoredItem, ...]
    partial: bool = False
