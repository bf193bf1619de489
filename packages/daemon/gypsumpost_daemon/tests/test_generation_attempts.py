"""Tests of generations on failing engines, in one process with a simulated clock."""

from collections.abc import Iterator

import pytest
import trio
import trio.testing

from gypsumpost_bench.engine_application import CRASH_TEXT
from gypsumpost_cli.token_chain import TokenChain, find_chain_error
from gypsumpost_cli.vocabulary import ANSWER_MARKER, FIRST_WORD, decode_tokens, tokenize_text
from gypsumpost_core.generations.retry_budget import RetryBudget, RetrySettings
from gypsumpost_core.generations.retry_decision import RetryDecision
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.generations.attempt_sequence import CONTINUATION_WAIT
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.tests.running_hosts import run_hosts
from gypsumpost_daemon.tests.serving_host import read_answer


@pytest.fixture
def clock(autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch) -> Iterator:
    monkeypatch.setattr("time.time", lambda: 1e9 + autojump_clock.current_time())
    yield autojump_clock


def check_whole(task: GenerationTask, length: int) -> None:
    record = task.record
    assert task.failure is None
    assert record.length == length
    assert find_chain_error(list(record.prompt_token_ids), record.list_token_ids()) is None


def compute_chain(prompt: str, seed: int, count: int) -> list[int]:
    start = [*tokenize_text(prompt), ANSWER_MARKER]
    chain, tokens = TokenChain(prompt=start, seed=seed), []
    for _ in range(count):
        tokens.append(chain.compute_next())
        chain.feed(tokens[-1])
    return tokens


async def test_a_crash_causing_request_crashes_at_most_three_engines(clock: object) -> None:
    """A request that crashes every engine must affect neither the whole fleet nor other answers."""
    async with run_hosts(6) as ([host], engines, nursery):
        innocent = [host.create_task(f"innocent {n}", 150) for n in range(12)]
        for task in innocent:
            nursery.start_soon(task.run)
        await trio.sleep(2.0)
        crasher = host.create_task(CRASH_TEXT)
        await crasher.run()
        lost = sum(engine.lost for engine in engines)
        assert 1 <= lost <= 3
        assert crasher.failure is not None
        assert crasher.failure.code == "request_quarantined"
        assert crasher.failure.run_state is RunState.RUN
        again = host.create_task(CRASH_TEXT)
        await again.run()
        assert again.failure is not None
        assert again.failure.run_state is RunState.NOT_RUN
        assert again.record.attempt == 0
        for task in innocent:
            await read_answer(task)
            check_whole(task, 150)
        assert sum(engine.lost for engine in engines) == lost


async def test_other_daemons_of_the_domain_are_notified_of_a_quarantine(clock: object) -> None:
    """A crash-causing request must not crash more engines when it is sent to other daemons."""
    async with run_hosts(6, ("h0", "h3", "h1", "h4")) as (hosts, engines, _):
        crasher = hosts[0].create_task(CRASH_TEXT)
        await crasher.run()
        await trio.sleep(0.1)
        lost = sum(engine.lost for engine in engines)
        for other in hosts[1:]:
            again = other.create_task(CRASH_TEXT)
            await again.run()
            assert again.failure is not None
            assert again.failure.code == "request_quarantined"
        assert sum(engine.lost for engine in engines) == lost <= 3


async def test_a_reset_stream_of_a_live_engine_is_no_death(clock: object) -> None:
    """A lost connection must not raise suspicion against requests if the engine is still alive."""
    async with run_hosts(3) as ([host], engines, _):
        engine = engines[0]
        boot_id = host.guard.record_start("request", engine.name, trio.current_time())
        await host.guard.confirm_death(engine.name, engine.name, boot_id)
        assert host.guard.list_dead() == frozenset()
        engine.die()
        await host.guard.confirm_death(engine.name, engine.name, boot_id)
        assert host.guard.list_dead() == {engine.name}
        engine.boot()
        await trio.sleep(1)
        assert host.guard.list_dead() == frozenset()


async def test_a_death_is_seen_although_the_first_call_is_reset(clock: object) -> None:
    """A death must be detected even if the dying engine still accepts connections."""
    async with run_hosts(6) as ([host], engines, _):
        for engine in engines:
            engine.resets = 2
        await host.create_task(CRASH_TEXT).run()
        assert sum(engine.lost for engine in engines) <= 3


async def test_late_output_of_a_paused_engine_is_not_used(clock: object) -> None:
    """Output of an earlier attempt must not be added to the answer when its engine resumes."""
    async with run_hosts(2) as ([host], engines, nursery):
        task = host.create_task("report", 200)
        nursery.start_soon(task.run)
        await trio.sleep(2.0)
        first = next(engine for engine in engines if engine.requests)
        first.pause()
        await trio.sleep(3.0)
        assert task.record.attempt == 2
        first.awake.set()
        await read_answer(task)
        check_whole(task, 200)
        assert task.record.engine != first.name
        assert first.cancelled == ["g0-1.1"]


async def test_a_stop_sequence_across_a_continuation_ends_the_answer(clock: object) -> None:
    """A stop sequence that spans the output of two engines must be found."""
    tokens = compute_chain("draft", 7, 40)
    texts = [decode_tokens(tokens[:n]) for n in range(41)]
    loss_at = next(n for n in range(20, 39) if texts[n - 1] < texts[n] < texts[n + 1])
    stop = texts[loss_at][-2:] + texts[loss_at + 1][len(texts[loss_at]) :][:3]
    deaths = [loss_at]
    async with run_hosts(2) as ([host], engines, _):
        for engine in engines:
            engine.deaths = deaths
        task = host.create_task("draft", 100, seed=7, stop=(stop,))
        await task.run()
        text = "".join(piece.text for piece in await read_answer(task))
        assert task.record.attempt == 2
        assert task.record.finish_reason == "stop"
        assert text == texts[40][: texts[40].index(stop)]


async def test_a_character_split_by_the_loss_of_an_engine_is_whole(clock: object) -> None:
    """The loss of an engine within a character must neither repeat nor lose its first bytes."""
    tokens = compute_chain("draft", 3, 120)
    texts = [decode_tokens(tokens[:n]) for n in range(121)]
    loss_at = next(n for n in range(10, 119) if texts[n] == texts[n - 1])
    deaths = [loss_at]
    async with run_hosts(2) as ([host], engines, _):
        for engine in engines:
            engine.deaths = deaths
        task = host.create_task("draft", 120, seed=3)
        await task.run()
        pieces = await read_answer(task)
        assert task.record.attempt == 2
        assert [token for piece in pieces for token in piece.token_ids] == tokens
        assert "".join(piece.text for piece in pieces) == texts[120]


async def test_a_continuation_gets_only_the_tokens_that_remain(clock: object) -> None:
    """The loss of an engine before the last token must not make the answer too long."""
    seed = next(seed for seed in range(9) if compute_chain("draft", seed, 49)[-1] >= FIRST_WORD)
    deaths = [49]
    async with run_hosts(2) as ([host], engines, _):
        for engine in engines:
            engine.deaths = deaths
        task = host.create_task("draft", 50, seed=seed)
        await task.run()
        check_whole(task, 50)
        assert task.record.finish_reason == "length"
        requests = [request for engine in engines for request in engine.requests]
        assert sorted(request["max_tokens"] for request in requests) == [1, 50]


async def test_refusals_do_not_multiply_the_attempts(clock: object) -> None:
    """Engines that refuse all requests must not receive every request several times."""
    async with run_hosts(4) as ([host], engines, _):
        for engine in engines:
            engine.refusing = True
        for n in range(40):
            task = host.create_task(f"report {n}")
            await task.run()
            assert task.failure is not None
            assert task.failure.run_state is RunState.NOT_RUN
        settings = RetrySettings()
        retries = (1 - settings.continuation_reserve) * (settings.burst + settings.ratio * 40)
        assert 40 <= sum(engine.refusals for engine in engines) <= 40 + retries


async def test_continuations_do_not_wait_for_new_requests(clock: object) -> None:
    """Started answers must continue although an exhausted budget needs first attempts to refill."""
    async with run_hosts(4) as ([host], engines, nursery):
        tasks = [host.create_task(f"report {n}", 300) for n in range(24)]
        for task in tasks:
            nursery.start_soon(task.run)
        for engine in engines[:2]:
            await trio.sleep(2)
            engine.die()
        await trio.sleep(2 * CONTINUATION_WAIT)
        assert {task.record.engine for task in tasks} == {"e2", "e3"}
        for task in tasks:
            await read_answer(task)
            check_whole(task, 300)


async def test_a_refused_continuation_does_not_wait_longer_than_a_lost_one(
    clock: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stall of more than 3 s when engines refuse an answer that others lost.

    In the soak (seed 72) an answer whose budget was used up waited a second more after a refusal.
    """
    spent = RetryDecision(allowed=False, at=None)
    monkeypatch.setattr(RetryBudget, "decide_retry", lambda *arguments: spent)
    async with run_hosts(2) as ([host], engines, nursery):
        task = host.create_task("report", 200)
        nursery.start_soon(task.run)
        await trio.sleep(1.0)
        first = next(engine for engine in engines if engine.requests)
        other = next(engine for engine in engines if engine is not first)
        other.refusing = True
        first.die()
        while not other.refusals:
            await trio.sleep(0.01)
        other.refusing = False
        with trio.fail_after(CONTINUATION_WAIT + 0.1):
            while not other.requests:
                await trio.sleep(0.01)
        await read_answer(task)
        check_whole(task, 200)


async def test_a_stream_cancelled_by_the_engine_is_not_the_end(clock: object) -> None:
    """An answer must not end when an engine cancels its stream."""
    async with run_hosts(2) as ([host], engines, nursery):
        task = host.create_task("report", 60)
        nursery.start_soon(task.run)
        await trio.sleep(1)
        engine = next(engine for engine in engines if engine.requests)
        engine.batch.running[0].finish("cancelled")
        await read_answer(task)
        check_whole(task, 60)
        assert task.record.attempt == 2
