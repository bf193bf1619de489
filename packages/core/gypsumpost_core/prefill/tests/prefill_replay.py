"""Replay of a wave of short and long prompts on engines with scarce memory."""

import heapq
import random
from collections.abc import Callable, Sequence

import attrs

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_record
from gypsumpost_core.prefill.engine_load import EngineLoad
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt

MEMORY_TOKENS = 55_000
RATE = 5_000.0
OUTPUT_TOKENS = 1_300
DECODE_SECONDS = 4.2
OBJECTIVE = 4.5
STEP_SECONDS = 0.05
REPORT_STEPS = 3
"""Age of the reports that hosts choose from, in steps."""


@attrs.define(kw_only=True)
class ReplayEngine:
    """An engine that prefills admitted prompts one after the other.

    Streams produce no events while a prompt is prefilled. Prompts that do not fit into the memory
    wait, and those behind them too.
    """

    state: EndpointState
    waiting: list[WaitingPrompt] = attrs.field(factory=list)
    prefilling: list[tuple[WaitingPrompt, float]] = attrs.field(factory=list)
    decoding: list[tuple[WaitingPrompt, float]] = attrs.field(factory=list)

    @property
    def reserved(self) -> int:
        """Tokens of the streams in its memory."""
        streams = [prompt for prompt, _ in (*self.prefilling, *self.decoding)]
        return sum(prompt.total_tokens for prompt in streams)

    def advance(self) -> list[WaitingPrompt]:
        """Work for a step and return the prompts whose first event comes in it."""
        while self.waiting:
            if self.reserved + self.waiting[0].total_tokens > MEMORY_TOKENS:
                break
            prompt = self.waiting.pop(0)
            self.prefilling.append((prompt, prompt.prompt_tokens / RATE))
        if not self.prefilling:
            left = [(prompt, seconds - STEP_SECONDS) for prompt, seconds in self.decoding]
            self.decoding = [pair for pair in left if pair[1] > 0]
            return []
        prompt, seconds = self.prefilling[0]
        if seconds > STEP_SECONDS:
            self.prefilling[0] = (prompt, seconds - STEP_SECONDS)
            return []
        del self.prefilling[0]
        self.decoding.append((prompt, DECODE_SECONDS))
        return [prompt]

    def create_load(self) -> EngineLoad:
        """Return what the hosts report about it."""
        prefill = sum(round(seconds * RATE) for _, seconds in self.prefilling)
        return EngineLoad(
            state=self.state,
            prefill_rate=RATE,
            slots=24,
            memory_tokens=MEMORY_TOKENS,
            running=len(self.waiting) + len(self.prefilling) + len(self.decoding),
            prefill_tokens=prefill + sum(prompt.prompt_tokens for prompt in self.waiting),
            reserved_tokens=self.reserved + sum(prompt.total_tokens for prompt in self.waiting),
        )


def create_wave(rng: random.Random, seconds: float, per_second: float) -> list[WaitingPrompt]:
    """Return prompts in the order of their arrival, half of them short and half long.

    The rate rises to twice its mean in the middle.
    """
    prompts: list[WaitingPrompt] = []
    at = 0.0
    while at < seconds:
        in_middle = seconds / 3 <= at < 2 * seconds / 3
        at += rng.expovariate(per_second * (2.0 if in_middle else 0.5))
        tokens = rng.randint(3_000, 5_000) if rng.random() < 0.5 else rng.randint(9_000, 15_000)
        prompts.append(
            WaitingPrompt(
                request_id=f"r{len(prompts)}",
                service="model",
                priority=1,
                prompt_tokens=tokens,
                total_tokens=tokens + OUTPUT_TOKENS,
                first_event_by=at + OBJECTIVE,
            )
        )
    return prompts


Send = Callable[[WaitingPrompt, EndpointState], None]
Choose = Callable[[float, list[WaitingPrompt], Sequence[EngineLoad], Send], None]


def replay(prompts: Sequence[WaitingPrompt], engine_count: int, choose: Choose) -> dict[str, float]:
    """Return the time to the first event of each prompt.

    :param prompts: the prompts in the order of their arrival.
    :param engine_count: number of engines.
    :param choose: sends prompts that have arrived; called in each step with the reported loads.
    """
    engines = [
        ReplayEngine(state=EndpointState(record=create_record(f"e{number}")))
        for number in range(engine_count)
    ]
    by_id = {engine.state.record.endpoint_id: engine for engine in engines}
    arrivals = [(prompt.first_event_by - OBJECTIVE, n) for n, prompt in enumerate(prompts)]
    heapq.heapify(arrivals)
    reports: list[list[EngineLoad]] = []
    first_events: dict[str, float] = {}
    step = 0
    while len(first_events) < len(prompts) and step * STEP_SECONDS < 300:
        now = step * STEP_SECONDS
        reports.append([engine.create_load() for engine in engines])
        arrived = []
        while arrivals and arrivals[0][0] <= now:
            arrived.append(prompts[heapq.heappop(arrivals)[1]])
        known = reports[max(0, step - REPORT_STEPS)]
        choose(
            now,
            arrived,
            known,
            lambda prompt, state: by_id[state.record.endpoint_id].waiting.append(prompt),
        )
        for engine in engines:
            for prompt in engine.advance():
                first_events[prompt.request_id] = now - prompt.first_event_by + OBJECTIVE
        step += 1
    return first_events
