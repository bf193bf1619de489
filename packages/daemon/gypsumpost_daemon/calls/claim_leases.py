"""Store leases that delete old claims and outcomes."""

import math

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure

SLOT_SECONDS = 3600.0
"""All claims that one writer stores in this time share a lease, so that the calls for leases do
not grow with the calls to services."""

SPARE_SECONDS = 3600.0
"""For this long a lease serves on if the store grants no new one."""

GRANT_INTERVAL_SECONDS = 1.0
"""Shortest time between two grants, so that a failing store is not asked with each batch;
claims are refused for this long after it has recovered."""


@attrs.define(kw_only=True)
class ClaimLeases:
    """Finds the lease under which a claim or outcome is written now.

    A key lives for at least the retention after it is written and for at most the retention with
    slot and spare time.

    :param store: the store.
    :param retention_seconds: how long a repeat must find the claim.
    """

    store: Store
    retention_seconds: float
    _lease: int = attrs.field(default=0, init=False)
    _slot_end: float = attrs.field(default=-math.inf, init=False)
    _usable_until: float = attrs.field(default=-math.inf, init=False)
    _grant_at: float = attrs.field(default=-math.inf, init=False)

    async def find(self, deadline: float) -> Result[int, StoreFailure]:
        """Return the lease of the present slot; a failure means that nothing was written.

        :param deadline: process time in seconds at which to stop waiting.
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

    def forget(self) -> None:
        """Take another lease from now on; the store may have lost this one."""
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
