"""Stateful test of deciders that replace each other."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumpost_core.rollouts.rollout_decider import compute_full_spare, decide_step
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.tests.test_rollout_decider import (
    FLEET,
    NOW_MS,
    SETTINGS,
    build_evidence,
)

DECIDERS = 3


class DeciderHandover(RuleBasedStateMachine):
    """Deciders that read, freeze, lose their lease and write late to one stored item.

    Guards against a roll-out that ends twice, moves its deadline or grants the slack again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stored: list[RolloutRecord] = []
        self.orders: list[RolloutOrder] = []
        self.tokens = [0] * DECIDERS
        self.last_token = 0
        self.read = [0] * DECIDERS
        self.pending: list[RolloutRecord | None] = [None] * DECIDERS
        self.now_ms = NOW_MS

    @rule(version=st.sampled_from(["2", "3"]), seconds=st.sampled_from([5.0, 20.0]))
    def order(self, version: str, seconds: float) -> None:
        revision = len(self.orders) + 1
        self.orders.append(
            RolloutOrder(service="s", target_version=version, seconds=seconds, revision=revision)
        )

    @rule(decider=st.integers(0, DECIDERS - 1))
    def acquire_lease(self, decider: int) -> None:
        self.last_token += 1
        self.tokens[decider] = self.last_token

    @rule(
        decider=st.integers(0, DECIDERS - 1),
        answers=st.integers(0, 60),
        is_bad=st.booleans(),
        target_endpoints=st.integers(0, 2),
        other_requests=st.integers(0, 1),
    )
    def decide(
        self,
        decider: int,
        answers: int,
        is_bad: bool,
        target_endpoints: int,
        other_requests: int,
    ) -> None:
        fleet = attrs.evolve(
            FLEET, target_endpoints=target_endpoints, other_requests=other_requests
        )
        step = decide_step(
            record=self.stored[-1] if self.stored else None,
            order=self.orders[-1] if self.orders else None,
            evidence=build_evidence(answers, failures=answers if is_bad else 0),
            fleet=fleet,
            settings=SETTINGS,
            fencing_token=self.tokens[decider],
            now_ms=self.now_ms,
        )
        self.read[decider], self.pending[decider] = len(self.stored), step.record

    @rule(decider=st.integers(0, DECIDERS - 1))
    def write(self, decider: int) -> None:
        record, self.pending[decider] = self.pending[decider], None
        if record is not None and self.read[decider] == len(self.stored):
            self.stored.append(record)

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now_ms += int(seconds * 1_000)

    @invariant()
    def check_history(self) -> None:
        for earlier, later in zip(self.stored, self.stored[1:], strict=False):
            assert earlier.fencing_token <= later.fencing_token
            assert earlier.order_revision <= later.order_revision
            assert later.target_version not in later.barred
            if earlier.order_revision == later.order_revision:
                assert earlier.phase is RolloutPhase.RUNNING
                assert earlier.deadline_ms == later.deadline_ms
                assert earlier.spare <= later.spare <= compute_full_spare(SETTINGS, FLEET.hosts)
                assert later.phase is not RolloutPhase.COMPLETED or earlier.share == 1.0


TestDeciderHandover = DeciderHandover.TestCase
TestDeciderHandover.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
