"""Writer of claim orders to the store."""

from collections.abc import Awaitable, Callable, Sequence

import attrs
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_daemon.calls.claim_leases import ClaimLeases
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_transaction import build_transaction, read_replies
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure

ERA_CHANGED = StoreFailure(reason="the store has come back from an older copy", sent=True)

EraGate = Callable[[float], Awaitable[Result[None, StoreFailure]]]
"""Waits until claims may be created in the believed era; takes a monotonic time in seconds at which
to stop waiting."""


@attrs.define(kw_only=True)
class ClaimWriter:
    """Writes orders in one transaction, under the current lease.

    :param store: the store.
    :param leases: provides the lease, ``None`` to keep claims indefinitely.
    :param eras: judges the store's answers.
    :param wait_until_prepared: called before claims are created, ``None`` to create them at once.
    """

    store: Store
    leases: ClaimLeases | None = None
    eras: EraMonitor = attrs.field(factory=EraMonitor)
    wait_until_prepared: EraGate | None = None
    _lease_era: StoreEra = attrs.field(default=NO_ERA, init=False)

    @classmethod
    def create(
        cls,
        store: Store,
        retention_seconds: float | None,
        *,
        eras: EraMonitor | None = None,
        wait_until_prepared: EraGate | None = None,
    ) -> "ClaimWriter":
        """Create a writer.

        :param store: the store.
        :param retention_seconds: how long claims and outcomes are kept, ``None``: indefinitely.
        :param eras: judges the store's answers, ``None`` for a store without eras.
        :param wait_until_prepared: called before claims are created, ``None`` to create them at
            once.
        """
        leases = None
        if retention_seconds is not None:
            leases = ClaimLeases(store=store, retention_seconds=retention_seconds)
        return cls(
            store=store,
            leases=leases,
            eras=eras or EraMonitor(),
            wait_until_prepared=wait_until_prepared,
        )

    async def write(
        self, orders: Sequence[ClaimOrder], deadline: float
    ) -> Result[list[ClaimOrderReply], StoreFailure]:
        """Write orders and return the reply to each.

        :param orders: the orders, with distinct keys.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        creates = any(order.kind is ClaimOrderKind.CREATE for order in orders)
        if creates and self.wait_until_prepared is not None:
            prepared = await self.wait_until_prepared(deadline)
            if isinstance(prepared, Err):
                return prepared
        era = self._discard_former_lease()
        lease = 0
        if self.leases is not None:
            found = await self.leases.find(deadline)
            if isinstance(found, Err):
                return found
            lease = found.ok_value
        transaction = build_transaction(orders, lease)
        result = await self.store.run_transaction(transaction, deadline)
        if isinstance(result, Err):
            # The store may have refused the call because the lease does not exist any more.
            if self.leases is not None and not result.err_value.sent:
                self.leases.discard()
            return result
        if self.eras.era != era:
            # The claims may be made in an era in which other hosts have not stored theirs again.
            return Err(ERA_CHANGED)
        return Ok(read_replies(result.ok_value))

    def _discard_former_lease(self) -> StoreEra:
        # Ids of leases are given out again after a restore, so an old one may be another lease.
        if self.leases is not None and self._lease_era != self.eras.era:
            self.leases.discard()
        self._lease_era = self.eras.era
        return self._lease_era
