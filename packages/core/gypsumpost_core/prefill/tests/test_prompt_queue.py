"""Tests of the queue of waiting prompts and of the prefill time that hosts share."""

import random

import attrs

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_record
from gypsumpost_core.prefill.engine_load import EngineLoad
from gypsumpost_core.prefill.pacing_condition import is_paced
from gypsumpost_core.prefill.prefill_turns import MAX_BACKLOG_SECONDS, PrefillTurns
from gypsumpost_core.prefill.prompt_queue import MAX_WAITING, PromptQueue
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt


def create_load(engine="e1", domain="a", **changes):
    state = EndpointState(record=create_record(engine, domain))
    fields = {"prefill_rate": 5000.0, "slots": 24, "memory_tokens": 50_000}
    return EngineLoad(state=state, **(fields | changes))


def create_prompt(request_id="r1", **changes):
    prompt = WaitingPrompt(
        request_id=request_id,
        service="model",
        priority=1,
        prompt_tokens=5000,
        total_tokens=6000,
        first_event_by=4.5,
    )
    return attrs.evolve(prompt, **changes)


def grant(prompts, loads, now=0.0):
    queue = PromptQueue(rng=random.Random(1))
    for prompt in prompts:
        queue.add(prompt)
    return [granted.prompt.request_id for granted in queue.grant("model", loads, now)]


def test_an_engine_that_prefills_gets_no_further_prompt():
    """Guards against prompts that wait in an engine while others become free."""
    assert grant([create_prompt()], [create_load(prefill_tokens=5000)]) == []
    assert grant([create_prompt()], [create_load(prefill_tokens=1000)]) == ["r1"]


def test_memory_is_not_reserved_twice():
    """Guards against streams that engines preempt, whose prompts are prefilled again."""
    assert grant([create_prompt()], [create_load(running=4, reserved_tokens=40_000)]) == []
    loads = [create_load(), create_load("e2")]
    large = [create_prompt(f"r{n}", total_tokens=30_000) for n in range(3)]
    assert len(grant(large, loads)) == 2


def test_a_long_prompt_without_room_does_not_hold_up_a_short_one():
    """Guards against short prompts that wait for the room of a long one."""
    prompts = [create_prompt("long", total_tokens=30_000, first_event_by=3.0), create_prompt()]
    assert grant(prompts, [create_load(running=3, reserved_tokens=30_000)]) == ["r1"]


def test_started_streams_go_first_then_those_that_can_be_on_time():
    """Guards against a prompt that is late anyway taking the turn of one that is not."""
    prompts = [
        create_prompt("late", first_event_by=0.5),
        create_prompt("patient", first_event_by=4.0),
        create_prompt("urgent", first_event_by=2.0),
        create_prompt("started", first_event_by=0.0, started=True),
    ]
    loads = [create_load(f"e{number}") for number in range(2)]
    assert grant(prompts, loads) == ["started", "urgent"]


def test_late_prompts_leave_room_for_others():
    """Guards against a backlog of late prompts that makes all later ones late too."""
    load = create_load(running=3, reserved_tokens=30_000)
    assert grant([create_prompt("late", first_event_by=0.5)], [load]) == []
    assert grant([create_prompt("r1")], [load]) == ["r1"]


def test_a_prompt_waits_for_room_for_its_copy_while_it_can():
    """Guards against streams without a copy, whose prompts are prefilled again after a loss."""
    loads = [create_load(), create_load("b1", "b", running=4, reserved_tokens=45_000)]
    prompt = create_prompt(wants_copy=True)
    assert grant([prompt], loads, now=0.0) == []
    assert grant([prompt], loads, now=3.4) == ["r1"]
    assert grant([create_prompt(wants_copy=True)], [create_load(), create_load("b1", "b")])


def test_a_prompt_larger_than_the_share_gets_an_idle_engine():
    """Guards against a prompt that waits for good because it never fits."""
    large = create_prompt(total_tokens=48_000)
    assert grant([large], [create_load(running=1, reserved_tokens=100)]) == []
    assert grant([large], [create_load()]) == ["r1"]


def test_no_prompt_waits_for_a_copy_that_cannot_be_made():
    """Guards against late prompts that wait for good after the loss of all other domains."""
    late = create_prompt(wants_copy=True, first_event_by=0.5)
    assert grant([late], [create_load(), create_load("e2")]) == ["r1"]
    large = create_prompt(wants_copy=True, total_tokens=48_000)
    assert grant([large], [create_load(), create_load("b1", "b")]) == ["r1"]


def test_a_full_queue_takes_only_started_streams():
    """Guards against memory that grows with the load, and against losing started streams."""
    queue = PromptQueue(rng=random.Random(1))
    assert all(queue.add(create_prompt(f"r{number}")) for number in range(MAX_WAITING))
    assert not queue.add(create_prompt("more"))
    assert queue.add(create_prompt("started", started=True))


def test_prefill_time_is_granted_once():
    """Guards against hosts that send prompts to the same engine between two reports."""
    turns = PrefillTurns()
    assert turns.take("e1", 2.0, 10.0).granted
    refused = turns.take("e1", 2.0, 10.1)
    assert not refused.granted and refused.opens_at == 12.0 - MAX_BACKLOG_SECONDS
    assert turns.take("e1", 1.0, refused.opens_at).granted
    assert turns.take("e2", 2.0, 10.1).granted


def test_absurd_prefill_times_do_not_close_an_engine():
    """Guards against a message of another host that takes an engine out of service."""
    turns = PrefillTurns()
    turns.take("e1", 1e9, 0.0)
    turns.take("e2", -1e9, 0.0)
    assert turns.take("e1", 1.0, 31.0).granted
    assert turns.take("e2", 1.0, 0.0).granted


def test_streams_are_paced_where_memory_is_scarcer_than_slots():
    """Guards against prompts that wait on hosts of a deployment with room for all slots."""
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RequestKind.STREAM,
        shares=(),
        timeout=25.0,
        objective=4.5,
        max_attempts=5,
        pause_objective=0.7,
    )
    limits = EngineLimits(slots=24, memory_tokens=55_000, supports_copies=True)
    assert is_paced(route, limits, 6200)
    assert not is_paced(route, limits, 2000)
    assert not is_paced(route, limits, 2**31 - 1)
    assert not is_paced(attrs.evolve(route, pause_objective=None), limits, 6200)


def test_a_prompt_goes_only_to_engines_of_its_version():
    """Guards against a new version that gets prompts beyond its share while they wait."""

    def select_second(states, tried):
        return [state for state in states if state.record.endpoint_id == "e2"]

    loads = [create_load(), create_load("e2", running=3, reserved_tokens=44_000)]
    assert grant([create_prompt(select=select_second)], loads) == []
    assert grant([create_prompt(select=select_second, total_tokens=500)], loads) == ["r1"]
    assert (loads[0].running, loads[1].running) == (0, 4)
