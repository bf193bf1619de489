"""Tests of requests that share the beginning of a prompt on which engines crash."""

from collections.abc import Iterator

import pytest
import trio
import trio.testing

from gypsumpost_bench.engine_application import CRASH_TEXT
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.route_builder import PREFIX_BLOCK_BYTES
from gypsumpost_daemon.tests.fake_engine import FakeEngine
from gypsumpost_daemon.tests.running_hosts import run_hosts
from gypsumpost_daemon.tests.serving_host import ServingHost, read_answer

SHARED = "the same instructions for all requests of a service " * 6
DEADLY = CRASH_TEXT + SHARED
MAX_LATE_REQUESTS = 3
CRASHES = 5
RESTART_SECONDS = 1.0


@pytest.fixture
def clock(autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch) -> Iterator:
    monkeypatch.setattr("time.time", lambda: 1e9 + autojump_clock.current_time())
    yield autojump_clock


async def restart_engines(engines: list[FakeEngine]) -> None:
    """Start engines that have died again after a while, until cancelled."""
    while True:
        await trio.sleep(RESTART_SECONDS)
        for engine in engines:
            if not engine.alive:
                engine.boot()


async def run_task(host: ServingHost, prompt: str) -> GenerationTask:
    task = host.create_task(prompt, 30)
    await task.run()
    return task


async def test_requests_that_share_a_prefix_do_not_crash_engine_after_engine(
    clock: object,
) -> None:
    """Guards against requests, no two alike, that crash engines at every host of a domain."""
    assert len(SHARED) > PREFIX_BLOCK_BYTES
    async with run_hosts(8, ("h0", "h3")) as (hosts, engines, nursery):
        nursery.start_soon(restart_engines, engines)
        number = 0
        while sum(engine.lost for engine in engines) < CRASHES and number < 20:
            await run_task(hosts[number % 2], f"{DEADLY} request {number}")
            number += 1
        await trio.sleep(3.0)
        sent = sum(len(engine.requests) for engine in engines)
        for later in range(100, 110):
            task = await run_task(hosts[later % 2], f"{DEADLY} request {later}")
            assert task.failure is not None
        assert sum(len(engine.requests) for engine in engines) - sent <= MAX_LATE_REQUESTS
        assert task.failure is not None
        assert task.failure.code == "request_quarantined"
        assert task.failure.run_state is RunState.NOT_RUN


async def test_sound_requests_with_a_common_prefix_are_not_refused(clock: object) -> None:
    """Guards against refusing a prefix because engines crash for another reason beside it."""
    async with run_hosts(8, ("h0", "h3")) as (hosts, engines, nursery):
        nursery.start_soon(restart_engines, engines)
        sound = []
        for number in range(12):
            task = hosts[number % 2].create_task(f"{SHARED} question {number}", 150)
            sound.append(task)
            nursery.start_soon(task.run)
            await run_task(hosts[number % 2], f"{CRASH_TEXT} unrelated {number}")
        for task in sound:
            await read_answer(task)
            assert task.failure is None
