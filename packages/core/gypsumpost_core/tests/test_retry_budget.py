"""Tests of the retry budget."""

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.generations.retry_budget import RetryBudget

NO_DEADLINE = 1e9


def create_budget() -> RetryBudget:
    return RetryBudget(rng=random.Random(5))


@seed(5)
@settings(max_examples=100, deadline=None, database=None)
@given(failures=st.lists(st.tuples(st.booleans(), st.integers(0, 2)), max_size=400))
def test_retries_stay_within_a_tenth_of_first_attempts(failures: list[tuple[bool, int]]) -> None:
    """Guards against retries that multiply the load on a failing domain."""
    budget, retries = create_budget(), 0
    for number, (failed, domain) in enumerate(failures):
        budget.record_first_attempt(f"d{domain}", number * 0.01)
        if failed:
            decision = budget.decide_retry(f"d{domain}", 1, number * 0.01, NO_DEADLINE)
            retries += decision.allowed
    assert retries <= 3 + 0.1 * len(failures)


def test_single_lost_engine_continues_all_its_generations() -> None:
    """Guards against stalled answers because of the budget when a single engine is lost."""
    budget = create_budget()
    decisions = [budget.decide_continuation("e1", "d0", 1.0, NO_DEADLINE) for _ in range(40)]
    assert all(decision.allowed for decision in decisions)


def test_lost_domain_stays_within_the_budget_and_still_ends() -> None:
    """Guards against continuations that raise the load above 1.1 times the first attempts."""
    budget = create_budget()
    for number in range(1000):
        budget.record_first_attempt(f"d{number % 3}", number * 0.05)
    pending = [f"e{number % 12}" for number in range(300)]
    total, sent, now = 1000, 0, 50.0
    while pending:
        now += 0.05
        budget.record_first_attempt("d1", now)
        total += 1
        waiting = []
        for engine in pending:
            allowed = budget.decide_continuation(engine, "d0", now, NO_DEADLINE).allowed
            sent += allowed
            if not allowed:
                waiting.append(engine)
        pending = waiting
        assert sent <= 0.1 * total + 3 + 1
        assert total < 10_000


def test_no_retry_after_the_deadline() -> None:
    """Guards against work whose caller no longer waits."""
    budget = create_budget()
    for number in range(100):
        budget.record_first_attempt("d0", number * 0.1)
    late = budget.decide_retry("d0", 1, 10.0, 10.0)
    assert (late.allowed, late.at) == (False, None)
    assert not budget.decide_continuation("e0", "d0", 10.0, 10.0).allowed


def test_backoff_is_jittered_and_grows() -> None:
    """Guards against synchronized retries."""
    budget = create_budget()
    for number in range(2000):
        budget.record_first_attempt("d0", number * 0.01)
    early = [budget.decide_retry("d0", 1, 20.0, NO_DEADLINE).at for _ in range(20)]
    late = [budget.decide_retry("d0", 6, 20.0, NO_DEADLINE).at for _ in range(20)]
    assert len(set(early)) == 20
    assert max(at for at in late if at) > max(at for at in early if at)
