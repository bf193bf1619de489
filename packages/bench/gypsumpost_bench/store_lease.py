"""A lease of the stand-in store."""

import attrs


@attrs.define(kw_only=True)
class StoreLease:
    """A lease and its keys.

    :param ttl_seconds: duration from a grant or renewal until the lease expires.
    :param deadline: time in seconds at which the lease expires.
    :param keys: keys that are deleted with the lease.
    """

    ttl_seconds: int
    deadline: float
    keys: set[bytes] = attrs.field(factory=set)
