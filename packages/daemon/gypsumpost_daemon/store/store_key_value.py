"""A key-value pair of the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class StoreKeyValue:
    """One key-value pair as returned by the store.

    :param key: the key.
    :param value: the value.
    :param create_revision: store revision at which the key was created.
    :param mod_revision: store revision of the last change.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
