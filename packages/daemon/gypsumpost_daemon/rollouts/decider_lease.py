"""The lease under which one host decides on roll-outs."""

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.era_belief import EraBelief
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction, ItemWrite
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_failure import WriteFailure, WriteFailureKind
from gypsumpost_daemon.rollouts.checked_store import CheckedStore
from gypsumpost_daemon.rollouts.lease_confirmation import NEVER, LeaseConfirmation

DECIDER_KEY = "gypsumpost/rollouts/decider"
LEASE_SECONDS = 1.2
"""Time after which another host takes over from a decider that is gone, or that the store turns
away. A roll-out may have only a few seconds left."""

RENEWAL_SECONDS = 0.4
CALL_SECONDS = 0.8


def build_decider_key(era: StoreEra) -> str:
    """Return the key of the lease's item in an era.

    A revision of a former era may be given out again. As each era has a key of its own, a write of
    a former era never finds the lease of a later one where it expects its own.

    :param era: the era.
    """
    return DECIDER_KEY if era == NO_ERA else f"{DECIDER_KEY}/{era}"


@attrs.frozen(kw_only=True)
class EraMark:
    """What was known of the store's eras at a moment; any sight of another era changes it.

    :param era: the believed era.
    :param sightings: answers so far that named a higher era.
    """

    era: StoreEra
    sightings: int


class DeciderLease:
    """Takes and renews the lease; its token is made from the position at which it was taken.

    The lease counts only in the era in which it was taken. It is not taken before the lease of a
    holder in the former era must have ended.

    :param store: the store.
    :param host_id: this host, for operators who look at the item.
    """

    def __init__(self, *, store: CheckedStore, host_id: str) -> None:
        self._store = store
        self._host_id = host_id
        self._lease: StoreLease | None = None
        self._mark = self._observe()
        self._ends_at = 0.0
        self._renew_at = 0.0
        self.token = 0
        self.confirmation = NEVER
        self.confirmed_at = 0.0

    @property
    def held(self) -> bool:
        """True while this host may decide."""
        is_valid = self._lease is not None and trio.current_time() < self._ends_at
        return is_valid and self._mark == self._observe()

    @property
    def belief(self) -> EraBelief:
        """The store's era as this host believes it."""
        return self._store.belief

    async def take(self) -> Result[None, WriteFailure]:
        """Take the lease if no host holds it."""
        asked_at = trio.current_time()
        mark = self._observe()
        if asked_at < self.belief.believed_at + LEASE_SECONDS:
            return Err(refuse("the store has only just come back from a copy"))
        opened = await self._store.open_lease(LEASE_SECONDS, asked_at + CALL_SECONDS)
        if isinstance(opened, Err):
            return opened
        lease = opened.ok_value
        if mark != self._observe():
            return Err(refuse("the era has changed"))
        key = build_decider_key(mark.era)
        write = ItemWrite(key=key, value=self._host_id.encode(), lease=lease.lease_id)
        # Hosts that know no eras use the key without one. The copy may hold the lease of the former
        # era, under which a late write may still be made.
        former = build_decider_key(StoreEra(max(NO_ERA, mark.era - 1)))
        transaction = ItemTransaction(
            expected=dict.fromkeys((DECIDER_KEY, former, key), 0), writes=(write,)
        )
        taken = await self._store.commit(transaction, trio.current_time() + CALL_SECONDS)
        if mark != self._observe():
            return Err(refuse("the era has changed"))
        if isinstance(taken, Err):
            # Also if there was no answer: without its lease, a late write has no effect.
            await self._store.end_lease(lease, trio.current_time() + CALL_SECONDS)
            return taken
        self._lease, self._mark = lease, mark
        position = StorePosition(era=mark.era, revision=taken.ok_value.revision)
        self.token = position.to_token()
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
        """Let another host take the lease.

        In another era its number may be that of another host's lease.
        """
        lease, self._lease = self._lease, None
        if lease is not None and self._mark == self._observe():
            await self._store.end_lease(lease, trio.current_time() + CALL_SECONDS)

    def _observe(self) -> EraMark:
        return EraMark(era=self.belief.era, sightings=self.belief.sightings)

    def _record_renewal(self, asked_at: float) -> None:
        assert self._lease is not None
        number = self.confirmation.number + 1
        self.confirmation = LeaseConfirmation(token=self.token, number=number)
        self.confirmed_at = asked_at
        # The store may grant more, but other hosts wait no longer after a restore.
        self._ends_at = asked_at + min(self._lease.seconds, LEASE_SECONDS)
        self._renew_at = asked_at + RENEWAL_SECONDS


def refuse(reason: str) -> WriteFailure:
    """Return the failure of a change that was not asked for, or whose lease must not be used.

    :param reason: a short description.
    """
    return WriteFailure(kind=WriteFailureKind.REFUSED, reason=reason)
