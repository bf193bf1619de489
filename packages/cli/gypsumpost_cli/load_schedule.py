"""The requests of a load and their arrival times, reproducible from its seed."""

import heapq
import random
from collections.abc import Iterator

from gypsumpost_cli.load_arrival import LoadArrival
from gypsumpost_cli.load_plan import LoadPlan

CHAT_SHARE = 1 / 3


def schedule_load(plan: LoadPlan) -> Iterator[LoadArrival]:
    """Return all requests in the order of their arrival.

    :param plan: the load.
    """
    generations, calls = _schedule_generations(plan), _schedule_gate_calls(plan)
    return heapq.merge(generations, calls, key=lambda arrival: arrival.at)


def _schedule_generations(plan: LoadPlan) -> Iterator[LoadArrival]:
    rng = random.Random(f"generations/{plan.seed}")
    prefixes = [_create_prefix(plan, number) for number in range(max(1, plan.prefixes))]
    for number, at in enumerate(_generate_arrival_times(plan.rate, plan.seconds, rng)):
        is_long = rng.random() < plan.long_share
        yield LoadArrival(
            at=at,
            number=number,
            workspace=_choose_workspace(plan, rng),
            max_tokens=plan.long_tokens if is_long else plan.short_tokens,
            chat=rng.random() < CHAT_SHARE,
            prompt=f"{rng.choice(prefixes)} Incident {number}.",
        )


def _schedule_gate_calls(plan: LoadPlan) -> Iterator[LoadArrival]:
    rng = random.Random(f"gate calls/{plan.seed}")
    for number, at in enumerate(_generate_arrival_times(plan.gate_rate, plan.seconds, rng)):
        yield LoadArrival(at=at, number=number, workspace=_choose_workspace(plan, rng))


def _generate_arrival_times(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    if rate <= 0:
        return
    at = rng.expovariate(rate)
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


def _choose_workspace(plan: LoadPlan, rng: random.Random) -> int:
    weights = [workspace.weight for workspace in plan.workspaces]
    return rng.choices(range(len(weights)), weights)[0]


def _create_prefix(plan: LoadPlan, number: int) -> str:
    sentence = f"Station {number} reports by camera, by bike and by rider. "
    return (sentence * (plan.prefix_characters // len(sentence) + 1))[: plan.prefix_characters]
