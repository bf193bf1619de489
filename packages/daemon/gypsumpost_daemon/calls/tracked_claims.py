"""Claim orders of this host, with what is needed to store their claims again after a restore."""

import attrs
import trio
from result import Err, Result

from gypsumpost_core.gateway.store_era import NO_ERA
from gypsumpost_daemon.calls.claim_memory import ClaimMemory
from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_renewal import ClaimRenewal
from gypsumpost_daemon.calls.claim_writer import ERA_CHANGED
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_failure import StoreFailure


@attrs.define(kw_only=True)
class TrackedClaims:
    """Implements ``ClaimMode`` by another mode, and remembers the claims of this host.

    :param claims: executes the orders.
    :param memory: the claims of this host.
    :param eras: the store's era as this host believes it.
    :param renewal: stores the claims again after a restore.
    """

    claims: ClaimMode
    memory: ClaimMemory
    eras: EraMonitor
    renewal: ClaimRenewal

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self.renewal.run)

    async def submit(
        self, order: ClaimOrder, deadline: float
    ) -> Result[ClaimOrderReply, StoreFailure]:
        """Execute an order.

        :param order: the order.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        if order.kind is ClaimOrderKind.CREATE:
            confirmed = await self.renewal.wait_until_confirmed(deadline)
            if isinstance(confirmed, Err):
                return confirmed
        era = self.eras.era
        self.memory.record_submitted(order, trio.current_time())
        result = await self.claims.submit(order, deadline)
        if isinstance(result, Err):
            return result
        if order.kind is ClaimOrderKind.CREATE and self.eras.era != era:
            # The claim may have been made in the former era, and other hosts may have been told
            # already that all claims of this host are stored again.
            return Err(ERA_CHANGED)
        self._record_reply(order, result.ok_value)
        return result

    def _record_reply(self, order: ClaimOrder, reply: ClaimOrderReply) -> None:
        if self.eras.era == NO_ERA:
            return  # Such a store does not come back from a copy.
        now = trio.current_time()
        self.memory.record_contact(now)
        is_held = reply.applied or reply.current == order.value
        if order.kind is ClaimOrderKind.CREATE and is_held:
            self.memory.record_created(order, now)
