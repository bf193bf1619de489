"""A conditional change of items in the store."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class ItemWrite:
    """One item to write.

    :param key: its key.
    :param value: its value.
    :param lease: lease with which the item ends, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class ItemTransaction:
    """Changes that are made all together, or not at all.

    :param expected: the revision that each key must have, by key; 0 if it must not exist.
    :param writes: items to write.
    :param deletes: keys to delete.
    """

    expected: Mapping[str, int]
    writes: tuple[ItemWrite, ...] = ()
    deletes: tuple[str, ...] = ()
