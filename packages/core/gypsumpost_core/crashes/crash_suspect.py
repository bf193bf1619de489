"""A request that an endpoint had when it crashed."""

from functools import cached_property

import attrs

from gypsumpost_core.crashes.crash_key import CauseKind, CrashKey


@attrs.frozen(kw_only=True)
class CrashSuspect:
    """A request that may have crashed an endpoint.

    :param fingerprint: digest of the request that stays the same when it is retried.
    :param parts: digests of the parts of its prompt that other requests may share, in order.
    """

    fingerprint: bytes
    parts: tuple[bytes, ...] = ()

    @cached_property
    def keys(self) -> tuple[CrashKey, ...]:
        """The possible causes that the request contains: itself, and its parts in order."""
        own = CrashKey(kind=CauseKind.REQUEST, digest=self.fingerprint)
        return (own, *(CrashKey(kind=CauseKind.PART, digest=part) for part in self.parts))

    @cached_property
    def depths(self) -> dict[CrashKey, int]:
        """The position of each key: 0 for the request itself, then the parts in order."""
        return {key: depth for depth, key in enumerate(self.keys)}
