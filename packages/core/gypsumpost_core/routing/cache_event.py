"""A prefix cache event of an engine."""

import enum

import attrs


class CacheEventKind(enum.Enum):
    """What happened to a prefix in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    :param kind: what happened.
    :param digest: digest of the prefix, 0 for ``CLEARED``.
    """

    kind: CacheEventKind
    digest: int = 0
