"""A change reported by a watch on the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class StoreEvent:
    """One change of a key.

    :param key: the key.
    :param value: the new value, ``None`` for a deletion.
    :param mod_revision: store revision of the change.
    """

    key: bytes
    value: bytes | None
    mod_revision: int
