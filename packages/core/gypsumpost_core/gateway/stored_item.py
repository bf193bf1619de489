"""An item of the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class StoredItem:
    """A key as it was last written or removed.

    :param key: the key.
    :param revision: the store's revision of this change.
    :param value: the value, ``None`` if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None
