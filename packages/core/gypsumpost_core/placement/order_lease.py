"""State machine of a daemon that holds or wants the lease of its domain's orders."""

import attrs

from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.placement.lease_record import LeaseRecord
from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.lease_step import LeaseAction, LeaseStep
from gypsumpost_core.placement.lease_view import LeaseView


@attrs.define(kw_only=True)
class OrderLease:
    """Decides on the calls to the store; the caller reports what they gave.

    All times are process time in seconds. The holder's deadline counts from before the call that
    granted or renewed the store's lease, so it passes before the store's. A call without an
    answer never extends it.

    :param host_id: this host.
    :param settings: durations.
    """

    host_id: str
    settings: LeaseSettings
    fencing_token: int = attrs.field(default=0, init=False)
    deadline: float = attrs.field(default=0.0, init=False)
    _store_lease: int = attrs.field(default=0, init=False)
    _pending: LeaseStep | None = attrs.field(default=None, init=False)
    _next_at: float = attrs.field(default=0.0, init=False)
    _try_at: float | None = attrs.field(default=None, init=False)
    _free: LeaseView | None = attrs.field(default=None, init=False)

    def decide(self, rank: int, now: float) -> LeaseStep:
        """Return the next step.

        :param rank: place of this host in the rendezvous order of its domain's live hosts.
        :param now: process time in seconds.
        """
        if now >= self.deadline:
            self._lapse()
        if now < self._next_at:
            return LeaseStep(action=LeaseAction.WAIT, at=self._next_at)
        if self.fencing_token:
            return LeaseStep(action=LeaseAction.KEEP, store_lease=self._store_lease)
        if self._pending is not None:
            return self._pending
        if rank >= self.settings.candidates:
            self._free = self._try_at = None
            return LeaseStep(action=LeaseAction.WAIT, at=now + self.settings.read_after)
        return self._decide_on_view(rank, now)

    def _decide_on_view(self, rank: int, now: float) -> LeaseStep:
        if self._free is not None and self._try_at is None:
            self._try_at = now + rank * self.settings.stagger
        if self._try_at is not None and now < self._try_at:
            # The lease is read again then, as a host that comes first has probably taken it.
            self._free = None
            return LeaseStep(action=LeaseAction.WAIT, at=self._try_at)
        if self._free is None:
            return LeaseStep(action=LeaseAction.READ)
        return LeaseStep(action=LeaseAction.GRANT)

    def note_granted(self, store_lease: int, nonce: str, sent_at: float) -> None:
        """Note a new lease of the store; the record is written under it next.

        :param store_lease: its id.
        :param nonce: a new random name of this taking.
        :param sent_at: time before the call.
        """
        free = self._free
        if free is None:
            return
        token = 1 + (free.record.fencing_token if free.record else 0)
        record = LeaseRecord(holder=self.host_id, fencing_token=token, nonce=nonce)
        self._pending = LeaseStep(
            action=LeaseAction.TAKE,
            record=record,
            revision=free.revision,
            store_lease=store_lease,
        )
        self._store_lease = store_lease
        self.deadline = self._compute_deadline(sent_at)
        self._free = self._try_at = None

    def note_taken(self, now: float) -> None:
        """Note that the store wrote the record.

        :param now: process time in seconds.
        """
        pending = self._pending
        if pending is None or pending.record is None or now >= self.deadline:
            self._lapse()
            return
        self.fencing_token = pending.record.fencing_token
        self._pending = None
        self._next_at = self.deadline - self._compute_deadline(0.0) + self.settings.renew_after

    def note_read(self, view: LeaseView, now: float) -> None:
        """Note what the store has, read plainly or by a taking whose condition failed.

        :param view: what was read.
        :param now: process time in seconds.
        """
        pending = self._pending
        if pending is not None and view.held and view.record == pending.record:
            self.note_taken(now)
            return
        if pending is not None:
            self._lapse()
        if view.held:
            self._free = self._try_at = None
            self._next_at = now + self.settings.read_after
        else:
            self._free = view

    def note_kept(self, remaining: int, sent_at: float) -> None:
        """Note the answer to a renewal.

        :param remaining: seconds that the store's lease has left, 0 if it lapsed.
        :param sent_at: time before the call.
        """
        if not self.fencing_token:
            return
        if remaining <= 0:
            self._lapse()
            return
        # The store may grant less than was asked for.
        seconds = min(self.settings.ttl, remaining)
        self.deadline = max(self.deadline, sent_at + seconds - self.settings.margin)
        self._next_at = sent_at + self.settings.renew_after

    def note_no_answer(self, now: float) -> None:
        """Note a call without an answer; a taking is repeated with its nonce.

        :param now: process time in seconds.
        """
        self._next_at = now + self.settings.retry_after

    def may_send(self, now: float) -> bool:
        """Make the last check before an order is sent.

        :param now: process time in seconds.
        """
        return self.fencing_token > 0 and now < self.deadline

    def note_order(self, fencing_token: int, now: float) -> None:
        """Check an order whose first byte is about to be sent.

        :param fencing_token: the token that it carries.
        :param now: process time in seconds.
        :raises BrokenInvariant: if the lease does not allow it.
        """
        allowed = self.may_send(now) and fencing_token == self.fencing_token
        state = {"token": fencing_token, "lease": self, "now": now}
        require(Invariant.ORDER_WITHIN_LEASE, allowed, state)

    def get_store_lease(self) -> int:
        """Return the store's lease to revoke at a planned stop, 0 if there is none."""
        return self._store_lease

    def _compute_deadline(self, sent_at: float) -> float:
        return sent_at + self.settings.ttl - self.settings.margin

    def _lapse(self) -> None:
        if self.fencing_token or self._pending is not None:
            self._next_at = 0.0
        self.fencing_token = 0
        self.deadline = 0.0
        self._store_lease = 0
        self._pending = None
