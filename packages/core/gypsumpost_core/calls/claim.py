"""Decisions of one attempt to run a non-idempotent call under a key that its caller chose."""

from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.calls.claim_reply import ClaimReply
from gypsumpost_core.calls.claim_step import ClaimStep
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.run_state import RunState


class Claim:
    """Follows one claim from its creation to the one sending that it allows.

    :param record: the claim that this owner tries to store.
    :param first_attempt: true if the caller vouches that it never sent this key before.
    """

    def __init__(self, *, record: ClaimRecord, first_attempt: bool) -> None:
        self.record = record
        self._first_attempt = first_attempt
        self._held = False
        self._given_up = False
        self._sent = False
        self._maybe_written = False
        self._seen_other = False

    @property
    def held(self) -> bool:
        """True if the store confirmed this claim and it has not been given up."""
        return self._held and not self._given_up

    @property
    def is_left_over(self) -> bool:
        """True if the store may hold this claim although the call will never be sent."""
        return (self._held or self._maybe_written) and not self._sent and self._given_up

    def decide(self, reply: ClaimReply, now: float, owner_is_lost: bool) -> ClaimStep:
        """Choose the next step after an answer of the store.

        :param reply: the answer.
        :param now: Unix time in seconds.
        :param owner_is_lost: true if the stored owner's incarnation is known to be gone.
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
        # The owner may have sent the call before it was lost, so nobody takes the claim over.
        return ClaimStep.ANSWER_UNKNOWN if owner_is_lost else ClaimStep.WAIT

    def may_send(self, now: float) -> bool:
        """Make the last check before the first byte.

        :param now: Unix time in seconds.
        """
        return self.held and not self._sent and now < self.record.deadline

    def note_sent(self, now: float) -> None:
        """Note that the first byte is about to be sent.

        :param now: Unix time in seconds.
        :raises BrokenInvariant: if this claim does not allow a sending now.
        """
        state = {"record": self.record, "held": self.held, "sent": self._sent, "now": now}
        require(Invariant.AT_MOST_ONCE, self.may_send(now), state)
        self._sent = True

    def give_up(self) -> None:
        """Decide for good that the call is not sent under this claim."""
        self._given_up = True

    def find_run_state(self) -> RunState:
        """Return what may truthfully be said of the call when no answer of the service is known.

        Holding the claim proves that nobody ran the call under this key, as a claim is only
        removed by an owner that never sent. Without an answer of the store, only a caller that
        never sent the key before can be told ``not_run``: an earlier request may have run.
        """
        if self._sent or self._seen_other:
            return RunState.UNKNOWN
        if self._held or self._first_attempt:
            return RunState.NOT_RUN
        return RunState.UNKNOWN

    def check_answer(self, run_state: RunState) -> None:
        """Check an answer to the caller before it is given.

        :param run_state: what the caller is about to be told.
        :raises BrokenInvariant: if it says ``not_run`` of a call that was or may still be sent.
        """
        if run_state is not RunState.NOT_RUN:
            return
        certain = not self._sent and (self._given_up or not self._held)
        state = {"record": self.record, "sent": self._sent, "given_up": self._given_up}
        require(Invariant.TRUTHFUL_NOT_RUN, certain, state)
        self._given_up = True
