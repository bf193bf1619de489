"""State machine for acquiring and renewing the order lease of a failure domain."""

import attrs

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.placement.lease_record import LeaseRecord
from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.lease_step import LeaseAction, LeaseStep
from gypsumpost_core.placement.lease_view import LeaseView


@attrs.define(kw_only=True)
class OrderLease:
    """Chooses the calls to the store; the caller makes them and reports their results.

    All times are monotonic time in seconds. The holder's deadline is computed from the time before
    the call that granted or renewed the store's lease, so it passes before the lease expires
    in the store. A call without a response never extends it.

    When the store comes back from an older copy, which may lack the lease, the holder stops, and
    nobody acquires the lease before the time to live has passed. By then the holder's deadline
    has passed as well, also if it has not heard of the restore.

    :param host_id: id of this host.
    :param settings: durations and number of candidates.
    """

    host_id: str
    settings: LeaseSettings
    fencing_token: int = attrs.field(default=0, init=False)
    deadline: float = attrs.field(default=0.0, init=False)
    _store_lease: int = attrs.field(default=0, init=False)
    _pending: LeaseStep | None = attrs.field(default=None, init=False)
    _next_at: float = attrs.field(default=0.0, init=False)
    _acquire_at: float | None = attrs.field(default=None, init=False)
    _free_view: LeaseView | None = attrs.field(default=None, init=False)
    _blocked_until: float = attrs.field(default=0.0, init=False)

    def decide(self, rank: int, now: float) -> LeaseStep:
        """Return the next step.

        :param rank: position of this host in the rendezvous order of its domain's live hosts, from
            0.
        :param now: monotonic time in seconds.
        """
        if now >= self.deadline:
            self._reset()
        if now < self._blocked_until:
            self._free_view = self._acquire_at = None
            return LeaseStep(action=LeaseAction.WAIT, at=self._blocked_until)
        if now < self._next_at:
            return LeaseStep(action=LeaseAction.WAIT, at=self._next_at)
        if self.fencing_token:
            return LeaseStep(action=LeaseAction.RENEW, store_lease=self._store_lease)
        if self._pending is not None:
            return self._pending
        if rank >= self.settings.candidates:
            self._free_view = self._acquire_at = None
            return LeaseStep(action=LeaseAction.WAIT, at=now + self.settings.read_after)
        return self._decide_on_view(rank, now)

    def _decide_on_view(self, rank: int, now: float) -> LeaseStep:
        if self._free_view is not None and self._acquire_at is None:
            self._acquire_at = now + rank * self.settings.stagger
        if self._acquire_at is not None and now < self._acquire_at:
            # Read the lease again at that time: a host with a lower rank has probably acquired it.
            self._free_view = None
            return LeaseStep(action=LeaseAction.WAIT, at=self._acquire_at)
        if self._free_view is None:
            return LeaseStep(action=LeaseAction.READ)
        return LeaseStep(action=LeaseAction.GRANT)

    def record_new_era(self, now: float) -> None:
        """Record that an answer of the store has named a higher era, confirmed or not.

        :param now: monotonic time in seconds.
        """
        self._reset()
        self._blocked_until = now + self.settings.ttl

    def record_granted(
        self, store_lease: int, nonce: str, sent_at: float, era: StoreEra = NO_ERA
    ) -> None:
        """Record a new lease granted by the store; the next step writes the record under it.

        :param store_lease: id of the store's lease.
        :param nonce: new random id of this acquisition.
        :param sent_at: monotonic time in seconds before the call was made.
        :param era: era of the store.
        """
        free = self._free_view
        if free is None:
            return
        # The record may be of a former era, in which higher tokens than its own were used.
        former = free.record.fencing_token if free.record else 0
        token = 1 + max(former, StorePosition(era=era).to_token())
        record = LeaseRecord(holder=self.host_id, fencing_token=token, nonce=nonce)
        self._pending = LeaseStep(
            action=LeaseAction.ACQUIRE,
            record=record,
            revision=free.revision,
            store_lease=store_lease,
        )
        self._store_lease = store_lease
        self.deadline = self._compute_deadline(sent_at)
        self._free_view = self._acquire_at = None

    def record_acquired(self, now: float) -> None:
        """Record that the store wrote the record, so that this host holds the lease.

        :param now: monotonic time in seconds.
        """
        pending = self._pending
        if pending is None or pending.record is None or now >= self.deadline:
            self._reset()
            return
        self.fencing_token = pending.record.fencing_token
        self._pending = None
        self._next_at = self.deadline - self._compute_deadline(0.0) + self.settings.renew_after

    def record_read(self, view: LeaseView, now: float) -> None:
        """Record the stored state, from a read or from a write whose condition failed.

        :param view: the stored state.
        :param now: monotonic time in seconds.
        """
        pending = self._pending
        if pending is not None and view.held and view.record == pending.record:
            self.record_acquired(now)
            return
        if pending is not None:
            self._reset()
        if view.held:
            self._free_view = self._acquire_at = None
            self._next_at = now + self.settings.read_after
        else:
            self._free_view = view

    def record_renewed(self, remaining: int, sent_at: float) -> None:
        """Record the response to a renewal.

        :param remaining: remaining seconds of the store's lease, 0 if it has expired.
        :param sent_at: monotonic time in seconds before the call was made.
        """
        if not self.fencing_token:
            return
        if remaining <= 0:
            self._reset()
            return
        # The store may grant a shorter time to live than requested.
        seconds = min(self.settings.ttl, remaining)
        self.deadline = max(self.deadline, sent_at + seconds - self.settings.margin)
        self._next_at = sent_at + self.settings.renew_after

    def record_no_answer(self, now: float) -> None:
        """Record a call without a response; a pending write is retried with the same nonce.

        :param now: monotonic time in seconds.
        """
        self._next_at = now + self.settings.retry_after

    def may_send(self, now: float) -> bool:
        """Return true if this host holds the lease, so that an order may be sent now.

        :param now: monotonic time in seconds.
        """
        return self.fencing_token > 0 and now < self.deadline

    def check_order(self, fencing_token: int, now: float) -> None:
        """Check an order immediately before its first byte is sent.

        :param fencing_token: fencing token of the order.
        :param now: monotonic time in seconds.
        :raises BrokenInvariant: if this host does not hold the lease with this token.
        """
        allowed = self.may_send(now) and fencing_token == self.fencing_token
        state = {"token": fencing_token, "lease": self, "now": now}
        require(Invariant.ORDER_WITHIN_LEASE, allowed, state)

    def get_store_lease(self) -> int:
        """Return the id of the store's lease, to revoke it on shutdown; 0 if there is none."""
        return self._store_lease

    def _compute_deadline(self, sent_at: float) -> float:
        return sent_at + self.settings.ttl - self.settings.margin

    def _reset(self) -> None:
        if self.fencing_token or self._pending is not None:
            self._next_at = 0.0
        self.fencing_token = 0
        self.deadline = 0.0
        self._store_lease = 0
        self._pending = None
