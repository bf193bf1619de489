"""Store leases under which old claims and outcomes expire."""

import math

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure

SLOT_SECONDS = 3600.0
"""All claims that one writer stores within this time share a lease, so that the number of lease
calls does not grow with the number of service calls."""

SPARE_SECONDS = 3600.0
"""A lease may be used this much longer if the store does not grant a new one."""

GRANT_INTERVAL_SECONDS = 1.0
"""Minimum time between two grant calls, so that a failing store is not called for each batch;
claims are refused for up to this long after it has recovered."""


@attrs.define(kw_only=True)
class ClaimLeases:
    """Provides the lease for claims and outcomes that are written now.

    A key is kept for at least the retention time after it is written, and for at most the retention
    time plus slot and spare time.

    :param store: the store.
    :param retention_seconds: how long claims are kept for retries of their calls.
    """

    store: Store
    retention_seconds: float
    _lease: int = attrs.field(default=0, init=False)
    _slot_end: float = attrs.field(default=-math.inf, init=False)
    _usable_until: float = attrs.field(default=-math.inf, init=False)
    _grant_at: float = attrs.field(default=-math.inf, init=False)

    async def find(self, deadline: float) -> Result[int, StoreFailure]:
        """Return the current lease, requesting one if needed; a failure means nothing was written.

        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        now = trio.current_time()
        if now < self._slot_end:
            return Ok(self._lease)
        reason = "the store granted no lease"
        if now >= self._grant_at:
            self._grant_at = now + GRANT_INTERVAL_SECONDS
            granted = await self._grant(now, deadline)
            if granted is None:
                return Ok(self._lease)
            reason = granted
        if trio.current_time() < self._usable_until:
            return Ok(self._lease)
        return Err(StoreFailure(reason=reason, sent=False))

    def discard(self) -> None:
        """Discard the current lease, as the store may have lost it."""
        self._slot_end = self._usable_until = -math.inf

    async def _grant(self, now: float, deadline: float) -> str | None:
        ttl = math.ceil(self.retention_seconds + SLOT_SECONDS + SPARE_SECONDS)
        granted = await self.store.grant_lease(ttl, deadline)
        if isinstance(granted, Err):
            return granted.err_value.reason
        self._lease = granted.ok_value
        self._slot_end = now + SLOT_SECONDS
        self._usable_until = self._slot_end + SPARE_SECONDS
        return None
