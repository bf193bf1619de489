"""Tests of the claim state machine."""

import pytest

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.calls.claim import Claim
from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.calls.claim_reply import ClaimReply
from gypsumpost_core.calls.claim_step import ClaimStep
from gypsumpost_core.run_state import RunState

DONE = ClaimOutcome(run_state=RunState.RUN, status=200)


def create_record(nonce: str = "own", digest: str = "d", outcome: ClaimOutcome | None = None):
    return ClaimRecord(
        owner="h1",
        incarnation=1,
        nonce=nonce,
        deadline=10.0,
        request_digest=digest,
        outcome=outcome,
    )


def create_claim(first_attempt: bool = False) -> Claim:
    return Claim(record=create_record(), first_attempt=first_attempt)


def decide(claim: Claim, stored: ClaimRecord | None, sent: bool = True, lost: bool = False):
    reply = ClaimReply(created=False, stored=stored, sent=sent)
    return claim.decide(reply, now=0.0, owner_is_lost=lost)


def test_each_answer_of_the_store_leads_to_its_step() -> None:
    """Guards against sending without holding the claim, and against refusing a finished call."""
    assert decide(create_claim(), create_record()) is ClaimStep.SEND
    assert decide(create_claim(), None, sent=True) is ClaimStep.READ_BACK
    assert decide(create_claim(), None, sent=False) is ClaimStep.REFUSE_STORE
    assert decide(create_claim(), create_record("other")) is ClaimStep.WAIT
    assert decide(create_claim(), create_record("other"), lost=True) is ClaimStep.ANSWER_UNKNOWN
    assert decide(create_claim(), create_record("other", digest="x")) is ClaimStep.REFUSE_MISMATCH
    done = create_record("other", outcome=DONE)
    assert decide(create_claim(), done, lost=True) is ClaimStep.RETURN_OUTCOME


def test_not_run_is_reported_only_if_certain() -> None:
    """Guards against reporting not_run for a key under which an earlier request may have run."""
    retry = create_claim()
    decide(retry, None, sent=False)
    assert retry.find_run_state() is RunState.UNKNOWN
    first = create_claim(first_attempt=True)
    decide(first, None, sent=True)
    assert first.find_run_state() is RunState.NOT_RUN
    decide(first, create_record("other"))
    assert first.find_run_state() is RunState.UNKNOWN
    held = create_claim()
    decide(held, create_record())
    assert held.find_run_state() is RunState.NOT_RUN
    held.record_sent(now=1.0)
    assert held.find_run_state() is RunState.UNKNOWN


def test_sending_twice_late_or_without_the_claim_violates_at_most_once() -> None:
    """Guards against a policy that sends although the claim does not permit it."""
    for prepare in (
        lambda claim: None,
        lambda claim: (decide(claim, create_record()), claim.abandon()),
        lambda claim: (decide(claim, create_record()), claim.record_sent(now=1.0)),
    ):
        claim = create_claim()
        prepare(claim)
        with pytest.raises(BrokenInvariant, match="at-most-once"):
            claim.record_sent(now=2.0)
    late = create_claim()
    decide(late, create_record())
    assert not late.may_send(now=10.0)
    with pytest.raises(BrokenInvariant, match="at-most-once"):
        late.record_sent(now=10.0)


def test_wrong_not_run_violates_truthful_not_run() -> None:
    """Guards against a policy that reports not_run for a call that was or may still be sent."""
    sent = create_claim()
    decide(sent, create_record())
    sent.record_sent(now=1.0)
    sent.abandon()
    with pytest.raises(BrokenInvariant, match="truthful-not-run"):
        sent.check_answer(RunState.NOT_RUN)
    still_held = create_claim()
    decide(still_held, create_record())
    with pytest.raises(BrokenInvariant, match="truthful-not-run"):
        still_held.check_answer(RunState.NOT_RUN)
    refused = create_claim(first_attempt=True)
    decide(refused, None, sent=True)
    refused.check_answer(RunState.NOT_RUN)
    decide(refused, create_record())
    assert not refused.may_send(now=1.0)
