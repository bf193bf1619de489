"""Cost of a decision about a waiting prompt against the number of engines."""

import random
from functools import partial

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.line_fit import create_slope_row, measure_microseconds
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.prefill.engine_load import EngineLoad
from gypsumpost_core.prefill.prompt_queue import PromptQueue
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt

ENGINES = (30, 60, 120, 240)
DOMAINS = 3
CHOICES = 20
REPEATS = 20


def measure_prefill() -> list[ExperimentRow]:
    """Measure the decision about one prompt at several numbers of engines."""
    points = []
    for count in ENGINES:
        loads = _create_loads(count)
        microseconds = measure_microseconds(partial(_choose, loads), REPEATS)
        points.append((float(count), microseconds / CHOICES))
    return [create_slope_row("decision about a waiting prompt, engine", "us", points)]


def _create_loads(count: int) -> list[EngineLoad]:
    rng = random.Random(1)
    return [
        EngineLoad(
            state=EndpointState(
                record=EndpointRecord(
                    endpoint_id=f"e{number}",
                    service="model",
                    address=f"10.0.0.{number}:1",
                    failure_domain=f"d{number % DOMAINS}",
                    slots=24,
                    leaving=False,
                    started_at=1,
                )
            ),
            prefill_rate=5000.0,
            slots=24,
            memory_tokens=55_000,
            running=2,
            prefill_tokens=rng.choice((0, 10_000)),
            reserved_tokens=rng.randrange(55_000),
        )
        for number in range(count)
    ]


def _create_queue() -> PromptQueue:
    queue = PromptQueue(rng=random.Random(1))
    # A prompt this short changes nothing for the next choice.
    queue.add(
        WaitingPrompt(
            request_id="r",
            service="model",
            priority=1,
            prompt_tokens=1,
            total_tokens=1,
            first_event_by=4.5,
            wants_copy=True,
        )
    )
    return queue


def _choose(loads: list[EngineLoad]) -> None:
    for _ in range(CHOICES):
        _create_queue().grant("model", loads, 0.0)
