"""Replays calls to endpoints that fail, and tests of their ejection."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs
import pytest

from gypsumpost_core.gateway.call_failures import (
    EJECTION_FAILURES,
    FIRST_EJECTION_SECONDS,
    PASSED_CALLS,
)
from gypsumpost_core.gateway.endpoint_choice import rank_endpoints
from gypsumpost_core.gateway.endpoint_ejection import record_choice
from gypsumpost_core.gateway.endpoint_load import EndpointLoad
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_record

SLOTS = 8
ENDPOINTS = 4
HOSTS = 6
CALLS_PER_SECOND = 200.0
ANSWER_SECONDS = 0.05
ORDINARY_SHARE = 0.14
FAILS_FROM = 10.0
FAILS_UNTIL = 30.0


@attrs.define(kw_only=True, eq=False)
class Server:
    """An endpoint that runs calls in slots."""

    running: int = 0
    queue: list[tuple[int, float]] = attrs.field(factory=list)
    called_at: list[float] = attrs.field(factory=list)


def replay(
    find_share: Callable[[int, float], float],
    *,
    seed: int,
    seconds: float = 60.0,
    failure_seconds: float = 0.001,
    stated: bool = False,
) -> list[list[float]]:
    """Return the times in seconds of the calls to each endpoint.

    :param find_share: returns the share of failures of an endpoint at a time in seconds.
    :param seed: seed of the random numbers.
    :param seconds: duration of the replay.
    :param failure_seconds: mean time that an endpoint takes to fail a call.
    :param stated: true if the endpoints state their load.
    """
    rng = random.Random(seed)
    servers = [Server() for _ in range(ENDPOINTS)]
    states = [create_states(ENDPOINTS) for _ in range(HOSTS)]
    order = itertools.count()
    events: list[tuple[float, int, Callable[..., None], tuple]] = []

    def schedule(at: float, action: Callable[..., None], *arguments) -> None:
        heapq.heappush(events, (at, next(order), action, arguments))

    def send(now: float, host: int) -> None:
        state = choose(states[host], now, rng=rng)
        index = next(n for n, other in enumerate(states[host]) if other is state)
        state.pending += 1
        servers[index].called_at.append(now)
        servers[index].queue.append((host, now))
        begin(now, index)

    def begin(now: float, index: int) -> None:
        server = servers[index]
        if server.queue and server.running < SLOTS:
            server.running += 1
            failed = rng.random() < find_share(index, now)
            mean = failure_seconds if failed else ANSWER_SECONDS
            taken = mean * (0.7 + 0.3 * rng.expovariate(1))
            schedule(now + taken, end, index, failed, *server.queue.pop(0))

    def end(now: float, index: int, failed: bool, host: int, sent_at: float) -> None:
        server, state = servers[index], states[host][index]
        server.running -= 1
        state.pending -= 1
        if stated:
            load = EndpointLoad(running=server.running, waiting=len(server.queue), slots=SLOTS)
            state.observe_load(load, now)
        observe_end(state, now, seconds=now - sent_at, failed=failed)
        begin(now, index)

    at = 0.0
    while (at := at + rng.expovariate(CALLS_PER_SECOND)) < seconds:
        schedule(at, send, rng.randrange(HOSTS))
    while events:
        now, _, action, arguments = heapq.heappop(events)
        action(now, *arguments)
    return [server.called_at for server in servers]


def create_states(count: int) -> list[EndpointState]:
    return [
        EndpointState(record=create_record(f"e{number}", slots=SLOTS)) for number in range(count)
    ]


def choose(
    states: Sequence[EndpointState],
    now: float,
    *,
    tried: Sequence[str] = (),
    rng: random.Random | None = None,
) -> EndpointState:
    """Return the endpoint for a call and record the choice, as a host does."""
    rng = rng or random.Random(1)
    ranked = rank_endpoints(states, failure_domain="a", tried=tried, now=now, rng=rng)
    record_choice(states, ranked[0], now)
    return ranked[0]


def observe_end(state: EndpointState, now: float, *, seconds: float, failed: bool) -> None:
    state.observe_call_end(served=not failed, now=now)
    state.observe_answer(seconds, failed)
    if not failed:
        state.observe_work(seconds, now)


def fail(state: EndpointState, now: float, count: int = 1) -> None:
    for _ in range(count):
        observe_end(state, now, seconds=0.001, failed=True)


def find_share_of_first_endpoint_failing(index: int, now: float) -> float:
    failing = index == 0 and FAILS_FROM <= now < FAILS_UNTIL
    return 1.0 if failing else ORDINARY_SHARE


def count_share(calls: Sequence[Sequence[float]], start: float, end: float) -> float:
    """Return the share of the first endpoint in the calls of a period in seconds."""
    counts = [sum(start <= at < end for at in called_at) for called_at in calls]
    return counts[0] / sum(counts)


@pytest.mark.parametrize("stated", [False, True])
@pytest.mark.parametrize("failure_seconds", [0.001, ANSWER_SECONDS])
def test_an_endpoint_that_fails_all_calls_gets_few_until_it_recovers(failure_seconds, stated):
    """Guards against a failing endpoint taken for a fast one, and a recovered one left unused."""
    while_failing, after = 0.0, 0.0
    for seed in range(3):
        calls = replay(
            find_share_of_first_endpoint_failing,
            seed=seed,
            failure_seconds=failure_seconds,
            stated=stated,
        )
        while_failing += count_share(calls, FAILS_FROM, FAILS_UNTIL) / 3
        after += count_share(calls, FAILS_UNTIL + 3.0, FAILS_UNTIL + 13.0) / 3
    assert while_failing < 0.03
    assert after > 0.6 / ENDPOINTS


@pytest.mark.parametrize("stated", [False, True])
@pytest.mark.parametrize("failure_seconds", [0.001, ANSWER_SECONDS])
def test_endpoints_with_equal_shares_of_failures_share_the_calls(failure_seconds, stated):
    """Guards against ejections by single random failures."""
    totals = [0] * ENDPOINTS
    for seed in range(3):
        calls = replay(
            lambda index, now: ORDINARY_SHARE,
            seed=seed,
            failure_seconds=failure_seconds,
            stated=stated,
        )
        totals = [total + len(called_at) for total, called_at in zip(totals, calls, strict=True)]
    assert min(totals) > 0.75 * sum(totals) / ENDPOINTS
    assert max(totals) < 1.25 * sum(totals) / ENDPOINTS


def test_endpoints_that_fail_at_once_leave_calls_to_a_slow_one():
    """Guards against calls that all fail where an answer takes 500 times as long as an error."""
    sound, *failing = create_states(11)
    served = 0
    for number in range(1000):
        now = 0.5 * number
        state = choose([sound, *failing], now)
        served += state is sound
        observe_end(state, now, seconds=0.5 if state is sound else 0.001, failed=state is not sound)
    assert served >= 1000 * PASSED_CALLS / (PASSED_CALLS + 1) - EJECTION_FAILURES * len(failing)


def test_ejected_endpoints_are_used_where_all_are():
    """Guards against refusing calls, and against an order other than the usual one."""
    first, second = create_states(2)
    fail(first, 1.0, EJECTION_FAILURES)
    assert choose([first, second], 1.0) is second
    fail(second, 1.0, EJECTION_FAILURES + 1)
    observe_end(second, 1.0, seconds=0.1, failed=True)
    assert choose([first, second], 1.0) is first
    assert choose([first, second], 1.0, tried=["e0"]) is second


def test_endpoints_that_recover_together_are_all_used_again():
    """Guards against all calls going to the endpoint that is the first to succeed."""
    first, second, lost = create_states(3)
    lost.lost_at = 0.0
    for state in (first, second):
        fail(state, 0.0, EJECTION_FAILURES)
    for number in range(20):
        state = choose([first, second, lost], 0.5 * number)
        fail(state, 0.5 * number)
    recovered = choose([first, second, lost], 10.0)
    observe_end(recovered, 10.0, seconds=0.05, failed=False)
    chosen = []
    for number in range(PASSED_CALLS + 1):
        state = choose([first, second, lost], 10.1 + 0.1 * number)
        chosen.append(state)
        observe_end(state, 10.1 + 0.1 * number, seconds=0.05, failed=False)
    assert {id(state) for state in chosen} == {id(first), id(second)}


def test_a_call_that_failed_elsewhere_is_no_test_call():
    """Guards against the loss of a call's last attempt."""
    ejected, sound, other = create_states(3)
    fail(ejected, 0.0, EJECTION_FAILURES)
    for _ in range(PASSED_CALLS):
        assert choose([ejected, sound, other], 0.1) is not ejected
    due_at = FIRST_EJECTION_SECONDS
    assert choose([ejected, sound, other], due_at, tried=["e1"]) is other
    assert choose([ejected, sound, other], due_at) is ejected
    assert choose([ejected, sound, other], due_at) is not ejected


def test_fewer_failures_in_a_row_do_not_eject():
    """Guards against ejections by ordinary failures."""
    (state,) = create_states(1)
    for _ in range(3):
        fail(state, 0.0, EJECTION_FAILURES - 1)
        assert not state.call_failures.ejected
        observe_end(state, 0.0, seconds=0.05, failed=False)
    fail(state, 0.0, EJECTION_FAILURES)
    assert state.call_failures.ejected
