"""Tests of admission control."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.limits.admission import Admission
from gypsumpost_core.limits.admission_decision import AdmissionDecision, AdmissionVerdict
from gypsumpost_core.limits.admission_request import AdmissionRequest
from gypsumpost_core.limits.concurrency_limit import ConcurrencyLimit
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.run_state import RunState


def create_admission(
    capacity: float = 2, queue_limit: int = 100, max_wait: float = 60.0
) -> Admission:
    limit = ConcurrencyLimit(capacity=capacity)
    return Admission(queue_limit=queue_limit, limit=limit, unix_offset=1000.0, max_wait=max_wait)


def create_request(name: str, workspace: str = "w", **values: object) -> AdmissionRequest:
    fields = {"deadline": 1e9, "cost": 100.0} | values
    return AdmissionRequest(request_id=name, workspace=workspace, **fields)  # type: ignore[arg-type]


def list_started(decisions: list[AdmissionDecision]) -> list[str]:
    return [d.request_id for d in decisions if d.verdict is AdmissionVerdict.START]


def train(admission: Admission, duration: float) -> None:
    admission.offer(create_request("training"), 0.0)
    admission.finish("training", duration)


def test_flooding_workspace_does_not_delay_the_others() -> None:
    """Guards against first-come, first-served order, in which one workspace delays all others."""
    admission = create_admission(capacity=1)
    admission.offer(create_request("r"), 0.0)
    for number in range(50):
        admission.offer(create_request(f"flood{number}", "flood"), 0.0)
    admission.offer(create_request("quiet", "quiet"), 0.0)
    started = list_started(admission.finish("r", 1.0))
    started += list_started(admission.finish(started[-1], 2.0))
    assert "quiet" in started


def test_shares_follow_weights() -> None:
    """Guards against ignored weights, which would give unequal plans equal shares."""
    admission = create_admission(capacity=1)
    admission.offer(create_request("r"), 0.0)
    for number in range(40):
        admission.offer(create_request(f"a{number}", "a", weight=3.0), 0.0)
        admission.offer(create_request(f"b{number}", "b"), 0.0)
    running, started = "r", []
    for turn in range(24):
        (running,) = list_started(admission.finish(running, float(turn)))
        started.append(running[0])
    assert 17 <= started.count("a") <= 19


def test_full_queue_drops_from_the_largest_workspace() -> None:
    """Guards against a flooding workspace that fills the queue and excludes the others."""
    admission = create_admission(capacity=1, queue_limit=10)
    for number in range(11):
        admission.offer(create_request(f"flood{number}", "flood"), 0.0)
    decisions = admission.offer(create_request("quiet", "quiet"), 0.0)
    assert [(d.request_id, d.verdict) for d in decisions] == [
        ("quiet", AdmissionVerdict.QUEUED),
        ("flood10", AdmissionVerdict.REFUSED),
    ]
    (refused,) = admission.offer(create_request("flood11", "flood"), 0.0)
    assert refused.verdict is AdmissionVerdict.REFUSED


def test_unreachable_deadline_is_refused_early_as_not_run() -> None:
    """Guards against queueing a request that cannot finish: its caller could retry elsewhere."""
    admission = create_admission(capacity=1)
    train(admission, 4.0)
    admission.offer(create_request("r", deadline=100.0), 10.0)
    (queued,) = admission.offer(create_request("fits", deadline=30.0), 10.0)
    assert queued.verdict is AdmissionVerdict.QUEUED
    (refused,) = admission.offer(create_request("late", deadline=17.0), 10.0)
    assert refused.failure is not None
    assert refused.failure.run_state is RunState.NOT_RUN
    assert refused.failure.retry_at is not None
    assert refused.failure.retry_at > 1010.0


def test_queue_is_no_longer_than_the_accepted_wait() -> None:
    """Guards against a backlog that delays new requests long after an overload."""
    admission = create_admission(capacity=1, max_wait=10.0)
    train(admission, 4.0)
    verdicts = [admission.offer(create_request(f"r{i}"), 10.0)[0].verdict for i in range(6)]
    assert verdicts.count(AdmissionVerdict.QUEUED) == 2
    assert verdicts.count(AdmissionVerdict.REFUSED) == 3


def test_waiting_request_expires_at_its_stored_deadline() -> None:
    """Guards against starting a request that cannot finish before its deadline."""
    admission = create_admission(capacity=1)
    admission.offer(create_request("r"), 0.0)
    (queued,) = admission.offer(create_request("q", deadline=8.0), 0.0)
    assert queued.check_at == 8.0
    assert admission.expire(7.9) == []
    (refused,) = admission.expire(8.0)
    assert refused.verdict is AdmissionVerdict.REFUSED
    assert admission.finish("r", 9.0) == []


def test_service_call_never_queues_behind_generations() -> None:
    """Guards against service calls, such as a gate's, that wait behind queued generations."""
    admission = create_admission(capacity=1)
    for number in range(50):
        admission.offer(create_request(f"g{number}"), 0.0)
    call = create_request("gate", kind=EndpointKind.SERVICE)
    assert list_started(admission.offer(call, 0.0)) == ["gate"]


def test_priority_goes_first() -> None:
    """Guards against ignored priorities."""
    admission = create_admission(capacity=1)
    admission.offer(create_request("r"), 0.0)
    admission.offer(create_request("low", "a"), 0.0)
    admission.offer(create_request("high", "b", priority=1), 0.0)
    assert list_started(admission.finish("r", 1.0)) == ["high"]


def test_limit_falls_with_late_first_tokens_and_recovers() -> None:
    """Guards against a limit above the engines' batch capacity, and one that never recovers."""
    limit = ConcurrencyLimit(capacity=100)
    for second in range(5):
        limit.observe_first_token(3.0, 100, float(second))
    assert limit.get_limit() < 65
    for second in range(5, 100):
        limit.observe_first_token(0.1, 200, float(second))
    assert limit.get_limit() > 100


def test_refusal_of_a_running_request_breaks_the_invariant() -> None:
    """Guards against a truthful-not-run check that never fails."""
    admission = create_admission()
    request = create_request("r")
    admission.offer(request, 0.0)
    with pytest.raises(BrokenInvariant, match="truthful-not-run"):
        admission._refuse(request, "overloaded", 1.0)


EVENTS = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 3), st.floats(0, 3)), min_size=1, max_size=80
)


@seed(3)
@settings(max_examples=200, deadline=None, database=None)
@given(events=EVENTS)
def test_each_request_ends_in_exactly_one_state(events: list[tuple[int, int, float]]) -> None:
    """Guards against lost requests, and requests that are both started and refused."""
    admission = create_admission(capacity=2, queue_limit=5)
    now = 0.0
    running: set[str] = set()
    waiting: set[str] = set()
    ended: set[str] = set()
    for number, (kind, choice, delay) in enumerate(events):
        now += delay
        if kind < 3:
            name = f"r{number}"
            request = create_request(name, f"w{choice}", deadline=now + 4 * choice, priority=kind)
            decisions = admission.offer(request, now)
            assert name in {decision.request_id for decision in decisions}
        elif kind == 3 and running:
            name = sorted(running)[choice % len(running)]
            running.remove(name)
            ended.add(name)
            decisions = admission.finish(name, now)
        else:
            decisions = admission.expire(now)
        for decision in decisions:
            assert decision.request_id not in running | ended
            waiting.discard(decision.request_id)
            target = {"start": running, "queued": waiting, "refused": ended}
            target[decision.verdict.value].add(decision.request_id)
        assert admission.count_running() == len(running) <= 2
        assert admission.count_waiting() == len(waiting) <= 5
