"""Item of the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class StoredItem:
    """Latest write or removal of a key.

    :param key: the key.
    :param revision: revision of the store at this change.
    :param value: the value, ``None`` if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None
