"""Tests of the silence bound and the resumption policies."""

import attrs
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.generations.resumption_policies import RESUMPTION
from gypsumpost_core.generations.resumption_policy import ResumptionAction, StreamState
from gypsumpost_core.generations.silence_bound import SilenceBound

SILENT = StreamState(
    now=1.0,
    last_token_at=0.0,
    connected=True,
    silence_bound=0.5,
    mean_gap=0.042,
    elsewhere_time=0.3,
    prompt_tokens=500,
    output_tokens=200,
)


def test_bound_of_a_fast_engine_is_short_and_of_a_slow_one_long() -> None:
    """Guards against considering a slow engine dead."""
    fast, slow = SilenceBound(), SilenceBound()
    for number in range(500):
        fast.observe_gap(0.042 + 0.01 * (number % 3), 0.042)
        slow.observe_gap(0.6 + 0.2 * (number % 3), 0.6)
    assert fast.compute_bound(0.042) == fast.settings.floor
    assert 1.2 < slow.compute_bound(0.6) <= slow.settings.ceiling


def test_bound_grows_with_load() -> None:
    """Guards against false timeouts when the load rises faster than gaps are recorded."""
    bound = SilenceBound()
    for number in range(500):
        bound.observe_gap(0.1 + 0.05 * (number % 3), 0.1)
    assert bound.compute_bound(0.2) > 1.5 * bound.compute_bound(0.1)
    assert bound.compute_bound(0.05) == bound.compute_bound(0.1)


def run_silence(policy_name: str, weight: float, elsewhere: float, bound: float) -> float:
    """Return the silence in seconds after which a policy abandons an unresponsive engine."""
    policy = RESUMPTION.create(policy_name, resume_weight=weight)
    now = 0.0
    while True:
        stream = attrs.evolve(SILENT, now=now, elsewhere_time=elsewhere, silence_bound=bound)
        decision = policy.decide(stream)
        if decision.action is not ResumptionAction.WAIT:
            return now
        assert decision.check_at > now
        now = decision.check_at


@seed(11)
@settings(max_examples=200, deadline=None, database=None)
@given(weight=st.floats(0, 1), elsewhere=st.floats(0.05, 1.0), bound=st.floats(0.4, 1.8))
def test_paused_engine_is_abandoned_in_time_at_any_weight(
    weight: float, elsewhere: float, bound: float
) -> None:
    """Guards against a stall of more than 3 s on a paused engine."""
    abandoned_at = run_silence("weighed", weight, elsewhere, bound)
    assert bound <= abandoned_at <= 3.0 - elsewhere


def test_weight_shifts_between_waiting_and_continuing() -> None:
    """Guards against a weight setting without effect."""
    long = {"elsewhere": 0.3, "bound": 0.5}
    assert run_silence("weighed", 1.0, **long) < run_silence("weighed", 0.0, **long)


def test_lost_connection_is_resumed_once_and_then_abandoned() -> None:
    """Guards against repeated work after a lost connection and endless resumes on a dead engine."""
    policy = RESUMPTION.create("weighed", resume_weight=0.8)
    lost = attrs.evolve(SILENT, connected=False)
    assert policy.decide(lost).action is ResumptionAction.RESUME
    again = attrs.evolve(lost, resumes=1)
    assert policy.decide(again).action is ResumptionAction.CONTINUE
    dead = attrs.evolve(lost, engine_down=True)
    assert policy.decide(dead).action is ResumptionAction.CONTINUE


@pytest.mark.parametrize("name", RESUMPTION.names())
def test_no_continuation_without_another_engine(name: str) -> None:
    """Guards against starting a continuation that no engine can run."""
    policy = RESUMPTION.create(name)
    dead = attrs.evolve(SILENT, connected=False, engine_down=True, elsewhere_time=None)
    decision = policy.decide(dead)
    assert decision.action is ResumptionAction.WAIT
    assert decision.check_at > dead.now


def test_baselines_do_what_their_names_say() -> None:
    """Guards against baseline policies that do not behave as named."""
    dead = attrs.evolve(SILENT, connected=False, engine_down=True)
    assert RESUMPTION.create("restart").decide(dead).action is ResumptionAction.RESTART
    assert RESUMPTION.create("continue-at-once").decide(dead).action is ResumptionAction.CONTINUE
    assert run_silence("continue-at-once", 1.0, 0.3, 0.5) == 0.5
    assert run_silence("wait-longest", 0.0, 0.3, 0.5) == 2.7
