"""The lease under which one host decides on roll-outs."""

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.gateway.item_store import ItemStore
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction, ItemWrite
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_failure import WriteFailure, WriteFailureKind
from gypsumpost_daemon.rollouts.lease_confirmation import NEVER, LeaseConfirmation

DECIDER_KEY = "gypsumpost/rollouts/decider"
LEASE_SECONDS = 1.2
"""Time after which another host takes over from a decider that is gone, or that the store turns
away. A roll-out may have only a few seconds left."""

RENEWAL_SECONDS = 0.4
CALL_SECONDS = 0.8


class DeciderLease:
    """Takes and renews the lease; its token is the store's revision at which it was taken.

    :param store: the store.
    :param host_id: this host, for operators who look at the item.
    """

    def __init__(self, *, store: ItemStore, host_id: str) -> None:
        self._store = store
        self._host_id = host_id
        self._lease: StoreLease | None = None
        self._ends_at = 0.0
        self._renew_at = 0.0
        self.token = 0
        self.confirmation = NEVER
        self.confirmed_at = 0.0

    @property
    def held(self) -> bool:
        """True while this host may decide."""
        return self._lease is not None and trio.current_time() < self._ends_at

    async def take(self) -> Result[None, WriteFailure]:
        """Take the lease if no host holds it."""
        asked_at = trio.current_time()
        opened = await self._store.open_lease(LEASE_SECONDS, asked_at + CALL_SECONDS)
        if isinstance(opened, Err):
            return opened
        lease = opened.ok_value
        write = ItemWrite(key=DECIDER_KEY, value=self._host_id.encode(), lease=lease.lease_id)
        transaction = ItemTransaction(expected={DECIDER_KEY: 0}, writes=(write,))
        taken = await self._store.commit(transaction, trio.current_time() + CALL_SECONDS)
        if isinstance(taken, Err):
            # Also if there was no answer: without its lease, a late write has no effect.
            await self._store.end_lease(lease, trio.current_time() + CALL_SECONDS)
            return taken
        self._lease = lease
        self.token = taken.ok_value
        self._record_renewal(asked_at)
        return Ok(None)

    async def renew(self) -> None:
        """Renew the lease if that is due; it is lost if the store says so or does not answer."""
        if self._lease is None or trio.current_time() < self._renew_at:
            return
        asked_at = trio.current_time()
        renewed = await self._store.renew_lease(
            self._lease, min(self._ends_at, asked_at + CALL_SECONDS)
        )
        if isinstance(renewed, Ok):
            self._record_renewal(asked_at)
            return
        self._renew_at = trio.current_time() + RENEWAL_SECONDS
        if renewed.err_value.kind is WriteFailureKind.LEASE_ENDED:
            self._lease = None

    def check_soon(self) -> None:
        """Renew the lease at the next step, because another host may hold it."""
        self._renew_at = 0.0

    async def end(self) -> None:
        """Let another host take the lease."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease, trio.current_time() + CALL_SECONDS)

    def _record_renewal(self, asked_at: float) -> None:
        assert self._lease is not None
        number = self.confirmation.number + 1
        self.confirmation = LeaseConfirmation(token=self.token, number=number)
        self.confirmed_at = asked_at
        self._ends_at = asked_at + self._lease.seconds
        self._renew_at = asked_at + RENEWAL_SECONDS
