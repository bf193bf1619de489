"""Replays of waves of short and long prompts, compared with the rule before."""

import random
from operator import methodcaller

import attrs
import pytest

from gypsumpost_core.cheap_choice import choose_cheap
from gypsumpost_core.prefill.engine_costs import SPREAD_SECONDS
from gypsumpost_core.prefill.prefill_turns import PrefillTurns
from gypsumpost_core.prefill.prompt_queue import PromptQueue
from gypsumpost_core.prefill.tests.prefill_replay import OBJECTIVE, RATE, create_wave, replay

HOSTS = 8
ENGINES = 8
SHORT_TOKENS = 5_000
WAVE_RATE = 4.0
"""Prompts per second on average; the engines cannot prefill those of the wave's peak in time."""


def send_at_once(rng):
    """The rule before: each prompt goes to an engine as soon as it arrives."""

    def choose(now, arrived, loads, send):
        for prompt in arrived:
            fitting = [load for load in loads if load.has_memory(prompt.total_tokens, 0.9)]
            estimate = methodcaller("estimate_cost", prompt.prompt_tokens)
            send(prompt, choose_cheap(rng, fitting or loads, estimate, SPREAD_SECONDS).state)

    return choose


def wait_for_room(rng, *, turns=True):
    """Each host lets its prompts wait, and asks for prefill time if ``turns`` is true."""
    queues = [PromptQueue(rng=rng) for _ in range(HOSTS)]
    desk = PrefillTurns()

    def choose(now, arrived, loads, send):
        for prompt in arrived:
            rng.choice(queues).add(prompt)
        for queue in queues:
            own_view = [attrs.evolve(load) for load in loads]
            for granted in queue.grant("model", own_view, now):
                seconds = granted.prompt.prompt_tokens / RATE
                engine = granted.engine.record.process_key
                if not turns or desk.take(engine, seconds, now).granted:
                    send(granted.prompt, granted.engine)
                else:
                    queue.add(granted.prompt)

    return choose


def count_on_time(prompts, first_events):
    on_time = [p for p in prompts if first_events.get(p.request_id, 99.0) <= OBJECTIVE]
    short = sum(prompt.prompt_tokens <= SHORT_TOKENS for prompt in on_time)
    return short, len(on_time) - short


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_short_prompts_do_not_wait_behind_long_ones(seed):
    """Guards against the 8 s that prompts of 4,000 tokens waited behind some of 10,000."""
    prompts = create_wave(random.Random(seed), seconds=24.0, per_second=WAVE_RATE)
    before = count_on_time(prompts, replay(prompts, ENGINES, send_at_once(random.Random(seed))))
    after = count_on_time(prompts, replay(prompts, ENGINES, wait_for_room(random.Random(seed))))
    assert after[0] > before[0]
    assert after[1] >= before[1]


def test_all_short_prompts_are_on_time_where_engines_can_prefill_all():
    """Guards against a short prompt that waits although some engine can take it in time."""
    prompts = create_wave(random.Random(2), seconds=24.0, per_second=WAVE_RATE / 2)
    first_events = replay(prompts, ENGINES, wait_for_room(random.Random(2)))
    short = sum(prompt.prompt_tokens <= SHORT_TOKENS for prompt in prompts)
    assert count_on_time(prompts, first_events)[0] == short


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_do_not_send_prompts_to_the_same_engine(seed):
    """Guards against three prompts on an engine that several hosts saw empty in old reports."""
    prompts = create_wave(random.Random(seed), seconds=24.0, per_second=WAVE_RATE)
    alone = replay(prompts, ENGINES, wait_for_room(random.Random(seed), turns=False))
    shared = replay(prompts, ENGINES, wait_for_room(random.Random(seed)))
    assert sum(count_on_time(prompts, shared)) > sum(count_on_time(prompts, alone))


def test_late_prompts_are_not_starved():
    """Guards against prompts that wait for good because others can still be on time."""
    prompts = create_wave(random.Random(4), seconds=30.0, per_second=WAVE_RATE)
    first_events = replay(prompts, ENGINES, wait_for_room(random.Random(4)))
    assert len(first_events) == len(prompts)
