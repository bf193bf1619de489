"""Writer of claim orders to the store."""

from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from gypsumpost_daemon.calls.claim_leases import ClaimLeases
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_transaction import build_transaction, read_replies
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure


@attrs.define(kw_only=True)
class ClaimWriter:
    """Writes orders in one transaction, under the current lease.

    :param store: the store.
    :param leases: provides the lease, ``None`` to keep claims indefinitely.
    """

    store: Store
    leases: ClaimLeases | None = None

    @classmethod
    def create(cls, store: Store, retention_seconds: float | None) -> "ClaimWriter":
        """Create a writer.

        :param store: the store.
        :param retention_seconds: how long claims and outcomes are kept, ``None``: indefinitely.
        """
        if retention_seconds is None:
            return cls(store=store)
        return cls(
            store=store, leases=ClaimLeases(store=store, retention_seconds=retention_seconds)
        )

    async def write(
        self, orders: Sequence[ClaimOrder], deadline: float
    ) -> Result[list[ClaimOrderReply], StoreFailure]:
        """Write orders and return the reply to each.

        :param orders: the orders, with distinct keys.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
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
        return Ok(read_replies(result.ok_value))
