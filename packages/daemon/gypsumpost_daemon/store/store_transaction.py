"""A transaction of the platform's store."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StoreCompare:
    """A condition on one key; exactly one of the fields other than ``key`` must be set.

    :param key: the key.
    :param create_revision: required creation revision, 0 for a key that does not exist.
    :param mod_revision: required revision of the last change.
    :param value: required value.
    """

    key: bytes
    create_revision: int | None = None
    mod_revision: int | None = None
    value: bytes | None = None


@attrs.frozen(kw_only=True)
class StorePut:
    """Writes a key, attached to a lease if ``lease`` is not 0."""

    key: bytes
    value: bytes
    lease: int = 0


@attrs.frozen(kw_only=True)
class StoreGet:
    """Reads a key, or the range up to ``range_end`` (exclusive) if that is not empty."""

    key: bytes
    range_end: bytes = b""


@attrs.frozen(kw_only=True)
class StoreDelete:
    """Deletes a key, or the range up to ``range_end`` (exclusive) if that is not empty."""

    key: bytes
    range_end: bytes = b""


@attrs.frozen(kw_only=True)
class StoreTransaction:
    """Runs ``success`` if all conditions hold, else ``failure``; transactions can be nested.

    :param compare: the conditions.
    :param success: operations to run if all conditions hold.
    :param failure: operations to run otherwise.
    """

    compare: tuple[StoreCompare, ...] = ()
    success: tuple[StoreOperation, ...] = ()
    failure: tuple[StoreOperation, ...] = ()


StoreOperation = StorePut | StoreGet | StoreDelete | StoreTransaction
