"""Replays calls to endpoints that state their load, against the rule without it."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import pytest

from gypsumpost_core.gateway.endpoint_choice import rank_endpoints
from gypsumpost_core.gateway.endpoint_load import EndpointLoad
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_record

SLOTS = 6
WORK_SECONDS = 0.072
SECONDS = 20.0
AIM_SECONDS = 0.35
DOMAINS = ("a", "b", "c")
SPEEDS = (0.7, 1.0, 1.5)
WORK_FACTORS = (0.8, 1.0, 1.0, 1.2, 3.0)
FACTOR_SECONDS = 0.3


@attrs.define(kw_only=True, eq=False)
class Server:
    """An endpoint that runs calls in slots, at a speed that changes."""

    speed: float
    factor: float = 1.0
    running: int = 0
    queue: list[tuple[int, float]] = attrs.field(factory=list)

    @property
    def load(self) -> EndpointLoad:
        """The load that it states."""
        return EndpointLoad(
            running=self.running, waiting=len(self.queue), slots=SLOTS, work_factor=self.factor
        )


def count_late(hosts: int, calls_per_second: float, *, stated: bool, seed: int) -> float:
    """Return the share of calls that take longer than their aim."""
    rng = random.Random(seed)
    servers = [Server(speed=speed) for speed in SPEEDS]
    states = [
        [EndpointState(record=create_record(d, d, slots=SLOTS)) for d in DOMAINS]
        for _ in range(hosts)
    ]
    order = itertools.count()
    events: list[tuple[float, int, Callable[..., None], tuple[int, ...]]] = []
    seconds: list[float] = []

    def schedule(at: float, action: Callable[..., None], *arguments) -> None:
        heapq.heappush(events, (at, next(order), action, arguments))

    def change_speed(now: float, index: int) -> None:
        servers[index].factor = rng.choice(WORK_FACTORS)
        if now < SECONDS:
            schedule(now + rng.expovariate(1 / FACTOR_SECONDS), change_speed, index)

    def send(now: float, host: int) -> None:
        ranked = rank_endpoints(
            states[host], failure_domain=DOMAINS[host % 3], tried=(), now=now, rng=rng
        )
        index = states[host].index(ranked[0])
        ranked[0].pending += 1
        servers[index].queue.append((host, now))
        begin(now, index)

    def begin(now: float, index: int) -> None:
        server = servers[index]
        if server.queue and server.running < SLOTS:
            server.running += 1
            work = rng.expovariate(1) * 0.3 + 0.7
            duration = WORK_SECONDS * work * server.factor * server.speed
            schedule(now + duration, end, index, *server.queue.pop(0))

    def end(now: float, index: int, host: int, sent_at: float) -> None:
        servers[index].running -= 1
        state, taken = states[host][index], now - sent_at
        state.pending -= 1
        if stated:
            state.observe_load(servers[index].load, now)
        state.observe_answer(taken, failed=False)
        state.observe_work(taken, now)
        seconds.append(taken)
        begin(now, index)

    for index in range(len(servers)):
        schedule(0.0, change_speed, index)
    at = 0.0
    while (at := at + rng.expovariate(calls_per_second)) < SECONDS:
        schedule(at, send, rng.randrange(hosts))
    while events:
        now, _, action, arguments = heapq.heappop(events)
        action(now, *arguments)
    return sum(taken > AIM_SECONDS for taken in seconds) / len(seconds)


@pytest.mark.parametrize("hosts", [6, 16])
@pytest.mark.parametrize("calls_per_second", [120.0, 180.0])
def test_fewer_calls_are_late_where_endpoints_state_their_load(hosts, calls_per_second):
    """Guards against calls that wait at an endpoint while another one has room."""
    before, after = (
        sum(count_late(hosts, calls_per_second, stated=stated, seed=n) for n in range(4)) / 4
        for stated in (False, True)
    )
    assert after < 0.75 * before


def test_a_stated_speed_decays_to_the_usual_one():
    """Guards against decisions by a speed that has long changed."""
    state = EndpointState(record=create_record("e1"))
    assert state.load_factor(5.0) == 1.0
    state.observe_load(EndpointLoad(running=3, waiting=0, slots=8, work_factor=3.0), 5.0)
    assert state.load_factor(5.0) == 3.0
    assert state.load_factor(5.25) == 2.0
    assert state.load_factor(8.0) < 1.01
    state.observe_load(EndpointLoad(running=3, waiting=0, slots=8), 9.0)
    assert state.load_factor(9.0) == 1.0
