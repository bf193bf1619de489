"""A host's question for the directory of a peer."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.store_position import StorePosition


@attrs.frozen(kw_only=True)
class DirectoryQuery:
    """What a host has, so that the peer sends the rest.

    :param known: the position up to which the host has all items, by prefix; revision 0 for none.
    :param accepts_kept: true if the host reads the keys of items that it has in place of the items;
        hosts of older versions do not.
    :param accepts_compressed: true if the host reads compressed values; hosts of older versions do
        not.
    """

    known: Mapping[str, StorePosition]
    accepts_kept: bool = True
    accepts_compressed: bool = True
