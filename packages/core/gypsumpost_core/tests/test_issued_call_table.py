"""Tests of issued keys."""

import pytest

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.issued_call_step import IssuedCallStep
from gypsumpost_core.calls.issued_call_table import IssuedCallTable
from gypsumpost_core.calls.issued_key_signer import IssuedKeySigner
from gypsumpost_core.run_state import RunState

DONE = ClaimOutcome(run_state=RunState.RUN, status=200, body=b"1234")


def create_table(incarnation: int = 1, max_calls: int = 10) -> IssuedCallTable:
    return IssuedCallTable(
        issuer="h1", incarnation=incarnation, max_calls=max_calls, max_outcome_bytes=4
    )


def test_key_runs_once_and_its_outcome_is_returned() -> None:
    """Guards against a second run when a call is retried under its issued key."""
    table = create_table()
    (key,) = table.issue_keys(1, deadline=100)
    assert table.begin(key, "d", now=1) is IssuedCallStep.RUN
    assert table.begin(key, "d", now=1) is IssuedCallStep.WAIT
    assert table.begin(key, "other", now=1) is IssuedCallStep.REFUSE_MISMATCH
    table.record_sent(key, now=1)
    table.finish(key, DONE)
    assert table.begin(key, "d", now=2) is IssuedCallStep.RETURN_OUTCOME
    assert not table.may_send(key, now=2)


def test_memory_is_bounded_by_deadline_and_count() -> None:
    """Guards against unbounded memory for used keys, and against running expired keys again."""
    table = create_table(max_calls=1)
    first, second = table.issue_keys(2, deadline=100)
    assert table.begin(first, "d", now=1) is IssuedCallStep.RUN
    assert table.begin(second, "d", now=1) is IssuedCallStep.REFUSE_FULL
    table.record_sent(first, now=1)
    table.finish(first, DONE)
    assert not table.has_room_for(b"x")
    assert table.begin(first, "d", now=100) is IssuedCallStep.ANSWER_UNKNOWN
    assert table.count() == 0
    assert table.has_room_for(b"x")
    # The wall clock is set back; the removed key must stay expired.
    assert table.begin(first, "d", now=1) is IssuedCallStep.ANSWER_UNKNOWN


def test_other_incarnation_answers_unknown() -> None:
    """Guards against a restarted daemon that accepts a key of its previous incarnation."""
    (key,) = create_table(incarnation=1).issue_keys(1, deadline=100)
    assert create_table(incarnation=2).begin(key, "d", now=1) is IssuedCallStep.ANSWER_UNKNOWN


def test_wrong_policies_violate_the_invariants() -> None:
    """Guards against a policy that sends twice or late, or releases a call that was sent."""
    table = create_table()
    key, late = table.issue_keys(2, deadline=100)
    table.begin(key, "d", now=1)
    table.begin(late, "d", now=1)
    table.record_sent(key, now=1)
    with pytest.raises(BrokenInvariant, match="at-most-once"):
        table.record_sent(key, now=1)
    with pytest.raises(BrokenInvariant, match="at-most-once"):
        table.record_sent(late, now=100)
    with pytest.raises(BrokenInvariant, match="truthful-not-run"):
        table.release(key)


def test_key_is_bound_to_workspace_service_and_deployment() -> None:
    """Guards against forged keys and against keys of another workspace or service."""
    signer = IssuedKeySigner(secret=b"s")
    (key,) = create_table().issue_keys(1, deadline=100)
    text = signer.format_key(key, "w", "gate")
    assert signer.read_key(text, "w", "gate") == key
    assert signer.read_key(text, "v", "gate") is None
    assert signer.read_key(text, "w", "portal") is None
    assert IssuedKeySigner(secret=b"t").read_key(text, "w", "gate") is None
    assert signer.read_key(text.replace(".100.", ".900."), "w", "gate") is None
    for malformed in ("", "gk1", "gk1.h1.x.100.1.ff", "gk1.h1.1.100.\u0661.ff", "\u00e9" * 40):
        assert signer.read_key(malformed, "w", "gate") is None
