"""A key of the platform's store with its value."""

import attrs


@attrs.frozen(kw_only=True)
class StoreKeyValue:
    """One key as the store returned it.

    :param key: the key.
    :param value: the value.
    :param create_revision: store revision at which the key was created.
    :param mod_revision: store revision of the last change.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
