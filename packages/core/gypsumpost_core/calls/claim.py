"""State machine for one attempt to run a non-idempotent call under a caller-chosen key."""

from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.calls.claim_reply import ClaimReply
from gypsumpost_core.calls.claim_step import ClaimStep
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.run_state import RunState


class Claim:
    """Tracks one claim from its creation to the single send that it permits.

    :param record: the claim that this owner tries to store.
    :param first_attempt: true if the caller states that it has never sent this key before.
    """

    def __init__(self, *, record: ClaimRecord, first_attempt: bool) -> None:
        self.record = record
        self._first_attempt = first_attempt
        self._held = False
        self._abandoned = False
        self._sent = False
        self._maybe_written = False
        self._seen_other = False

    @property
    def held(self) -> bool:
        """True if the store confirmed this claim and it has not been abandoned."""
        return self._held and not self._abandoned

    @property
    def needs_removal(self) -> bool:
        """True if the store may contain this claim although the call will never be sent."""
        return (self._held or self._maybe_written) and not self._sent and self._abandoned

    def decide(self, reply: ClaimReply, now: float, owner_is_lost: bool) -> ClaimStep:
        """Return the next step after a reply from the store.

        :param reply: the reply.
        :param now: Unix time in seconds.
        :param owner_is_lost: true if the stored owner's incarnation is known to have ended.
        """
        if reply.stored is None:
            self._maybe_written = self._maybe_written or reply.sent
            return ClaimStep.READ_BACK if reply.sent else ClaimStep.REFUSE_STORE
        if reply.stored.nonce == self.record.nonce and reply.stored.outcome is None:
            self._held = True
            self._seen_other = False
            return ClaimStep.SEND
        self._seen_other = True
        return self._decide_on_other(reply.stored, now, owner_is_lost)

    def _decide_on_other(self, stored: ClaimRecord, now: float, owner_is_lost: bool) -> ClaimStep:
        if stored.request_digest != self.record.request_digest:
            return ClaimStep.REFUSE_MISMATCH
        if stored.outcome is not None:
            return ClaimStep.RETURN_OUTCOME
        # The owner may have sent the call before it failed, so no other owner may run it.
        return ClaimStep.ANSWER_UNKNOWN if owner_is_lost else ClaimStep.WAIT

    def may_send(self, now: float) -> bool:
        """Return whether the call may be sent; checked right before the first byte.

        :param now: Unix time in seconds.
        """
        return self.held and not self._sent and now < self.record.deadline

    def record_sent(self, now: float) -> None:
        """Record that the first byte is about to be sent.

        :param now: Unix time in seconds.
        :raises BrokenInvariant: if the call may not be sent under this claim now.
        """
        state = {"record": self.record, "held": self.held, "sent": self._sent, "now": now}
        require(Invariant.AT_MOST_ONCE, self.may_send(now), state)
        self._sent = True

    def abandon(self) -> None:
        """Abandon this claim permanently: the call will not be sent under it."""
        self._abandoned = True

    def find_run_state(self) -> RunState:
        """Return the run state of a call for which there is no response from the service.

        Holding the claim proves that the call has not run under this key, because a claim is
        removed only by an owner that never sent the call. Without a reply from the store, the
        state is ``not_run`` only for a caller that never sent the key before; otherwise an earlier
        request may have run.
        """
        if self._sent or self._seen_other:
            return RunState.UNKNOWN
        if self._held or self._first_attempt:
            return RunState.NOT_RUN
        return RunState.UNKNOWN

    def check_answer(self, run_state: RunState) -> None:
        """Verify a run state before it is returned to the caller.

        :param run_state: the run state to return.
        :raises BrokenInvariant: if it is ``not_run`` for a call that was or may still be sent.
        """
        if run_state is not RunState.NOT_RUN:
            return
        certain = not self._sent and (self._abandoned or not self._held)
        state = {"record": self.record, "sent": self._sent, "given_up": self._abandoned}
        require(Invariant.TRUTHFUL_NOT_RUN, certain, state)
        self._abandoned = True
