"""Stateful test of claims: concurrent duplicates at several owners, and faults in any order."""

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from gypsumpost_bench.store_logic import StoreLogic
from gypsumpost_bench.tests.claim_attempt import ClaimAttempt
from gypsumpost_core.calls.claim import Claim
from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.calls.claim_reply import ClaimReply
from gypsumpost_core.calls.claim_step import ClaimStep
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.calls.claim_codec import decode_record
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_transaction import build_transaction, read_replies

OWNERS = ("h1", "h2", "h3")
KEY = b"a"
CLAIM_SECONDS = 5.0
FAULTS = ("none", "none", "lost", "down", "late")
"""``late``: no answer, and the order reaches the store at any later time or never; this is what an
owner sees of a lost batcher or a hanging store."""

RUN_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
SEARCH_SETTINGS = settings(RUN_SETTINGS, phases=(Phase.generate,), max_examples=1000)
"""For wrong policies: any counterexample is enough, so the slow shrinking phase is left out."""


class ClaimsMachine(RuleBasedStateMachine):
    """Owners that share a store; the history is checked against the sequential specification."""

    claim_class: type[Claim] = Claim

    def __init__(self) -> None:
        super().__init__()
        self.store = StoreLogic()
        self.now = 0.0
        self.incarnations = dict.fromkeys(OWNERS, 1)
        self.attempts: list[ClaimAttempt] = []
        self.late: list[ClaimOrder] = []
        self.runs: list[ClaimAttempt] = []

    @rule(owner=st.sampled_from(OWNERS))
    def begin(self, owner: str) -> None:
        number = len(self.attempts)
        record = ClaimRecord(
            owner=owner,
            incarnation=self.incarnations[owner],
            nonce=str(number),
            deadline=self.now + CLAIM_SECONDS,
            request_digest="d",
        )
        claim = self.claim_class(record=record, first_attempt=number == 0)
        self.attempts.append(ClaimAttempt(number=number, key=KEY, claim=claim))

    @precondition(lambda self: self.find("claiming"))
    @rule(data=st.data(), fault=st.sampled_from(FAULTS), patient=st.booleans())
    def claim(self, data: st.DataObject, fault: str, patient: bool) -> None:
        attempt = self.choose(data, "claiming")
        reply = self.submit_claim(attempt, fault)
        lost = reply.stored is not None and self.is_lost(reply.stored)
        step = attempt.claim.decide(reply, self.now, lost)
        if step is ClaimStep.SEND:
            attempt.phase = "ready"
        elif step is ClaimStep.RETURN_OUTCOME:
            assert reply.stored is not None and reply.stored.outcome is not None
            self.answer(attempt, reply.stored.outcome.run_state)
        elif step is ClaimStep.ANSWER_UNKNOWN:
            self.answer(attempt, RunState.UNKNOWN)
        elif step is ClaimStep.REFUSE_STORE or not patient:
            self.refuse(attempt, data)

    @precondition(lambda self: self.find("ready"))
    @rule(data=st.data(), connected=st.booleans())
    def send(self, data: st.DataObject, connected: bool) -> None:
        attempt = self.choose(data, "ready")
        if not connected or not attempt.claim.may_send(self.now):
            self.refuse(attempt, data)
            return
        attempt.claim.record_sent(self.now)
        attempt.phase = "sent"
        self.runs.append(attempt)

    @precondition(lambda self: self.find("sent"))
    @rule(data=st.data(), answered=st.booleans())
    def finish(self, data: st.DataObject, answered: bool) -> None:
        attempt = self.choose(data, "sent")
        state = RunState.RUN if answered else attempt.claim.find_run_state()
        outcome = ClaimOutcome(run_state=state, status=200)
        done = attrs.evolve(attempt.record, outcome=outcome)
        self.submit(attempt.create_outcome_order(done), data.draw(st.sampled_from(FAULTS)))
        self.answer(attempt, state)

    @rule(owner=st.sampled_from(OWNERS))
    def kill_owner(self, owner: str) -> None:
        self.incarnations[owner] += 1
        for attempt in self.attempts:
            if attempt.record.owner == owner:
                attempt.phase = "ended"

    @precondition(lambda self: self.find("sent"))
    @rule(data=st.data())
    def kill_owner_of_sent_call(self, data: st.DataObject) -> None:
        self.kill_owner(self.choose(data, "sent").record.owner)

    @rule(seconds=st.sampled_from((0.5, CLAIM_SECONDS)))
    def pause_all(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def deliver_late_order(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.late) - 1))
        self.apply(self.late.pop(index))

    @invariant()
    def call_runs_at_most_once(self) -> None:
        assert len(self.runs) <= 1, "a call ran twice"

    @invariant()
    def no_attempt_told_not_run_has_run(self) -> None:
        assert all(attempt.answer is not RunState.NOT_RUN for attempt in self.runs), "false not_run"

    def answer(self, attempt: ClaimAttempt, state: RunState) -> None:
        attempt.phase = "ended"
        attempt.answer = state
        if state is RunState.NOT_RUN:
            # Neither this attempt nor one that began earlier has run; the claim has proved it.
            earlier = [run for run in self.runs if run.number <= attempt.number]
            assert not earlier, "false not_run"
        if state is RunState.RUN:
            assert self.runs, "run was said of a call that did not run"

    def refuse(self, attempt: ClaimAttempt, data: st.DataObject) -> None:
        attempt.claim.abandon()
        state = attempt.claim.find_run_state()
        attempt.claim.check_answer(state)
        self.answer(attempt, state)
        if attempt.claim.needs_removal:
            self.submit(attempt.create_removal_order(), data.draw(st.sampled_from(FAULTS)))

    def submit_claim(self, attempt: ClaimAttempt, fault: str) -> ClaimReply:
        reply = self.submit(attempt.create_claim_order(), fault)
        if reply is None:
            return ClaimReply(created=False, stored=None, sent=fault != "down")
        if reply.applied:
            return ClaimReply(created=True, stored=attempt.record)
        assert reply.current is not None
        return ClaimReply(created=False, stored=decode_record(reply.current))

    def submit(self, order: ClaimOrder, fault: str) -> ClaimOrderReply | None:
        if fault == "late":
            self.late.append(order)
        if fault in ("late", "down"):
            return None
        reply = self.apply(order)
        return None if fault == "lost" else reply

    def apply(self, order: ClaimOrder) -> ClaimOrderReply:
        return read_replies(self.store.run_transaction(build_transaction([order]), self.now))[0]

    def is_lost(self, stored: ClaimRecord) -> bool:
        return self.incarnations[stored.owner] != stored.incarnation

    def find(self, phase: str) -> list[ClaimAttempt]:
        return [attempt for attempt in self.attempts if attempt.phase == phase]

    def choose(self, data: st.DataObject, phase: str) -> ClaimAttempt:
        return data.draw(st.sampled_from(self.find(phase)))


class TakingOverClaim(Claim):
    """Wrong policy: runs the call of a lost owner again."""

    def decide(self, reply: ClaimReply, now: float, owner_is_lost: bool) -> ClaimStep:
        step = super().decide(reply, now, owner_is_lost)
        if step is not ClaimStep.ANSWER_UNKNOWN:
            return step
        self._held = True
        return ClaimStep.SEND


class AlwaysNotRunClaim(Claim):
    """Wrong policy: reports not_run whenever the store does not answer."""

    def find_run_state(self) -> RunState:
        return RunState.NOT_RUN if not self._sent else RunState.UNKNOWN


class TakingOverMachine(ClaimsMachine):
    """Owners that take over the calls of lost owners."""

    claim_class = TakingOverClaim


class AlwaysNotRunMachine(ClaimsMachine):
    """Owners that report not_run in each store outage."""

    claim_class = AlwaysNotRunClaim


def test_no_call_runs_twice_and_no_not_run_is_false() -> None:
    """Guards against duplicate runs and a false not_run with any order of faults."""
    run_state_machine_as_test(ClaimsMachine, settings=RUN_SETTINGS)


@pytest.mark.parametrize(
    ("machine", "message"),
    [(TakingOverMachine, "a call ran twice"), (AlwaysNotRunMachine, "false not_run")],
)
def test_history_check_finds_wrong_policies(machine: type[ClaimsMachine], message: str) -> None:
    """Guards against a history check that cannot fail."""
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(machine, settings=SEARCH_SETTINGS)
