"""Decides which of the waiting prompts of a host are sent, and to which engines.

The load pattern: prompts of very different lengths arrive in waves at engines whose memory holds
the streams and copies of a few of them. An engine admits prompts in the order in which they come,
so that a short prompt waits behind long ones, and a prompt that waits at a full engine cannot use
the room that becomes free at another one.
"""

import random
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.cheap_choice import choose_cheap
from gypsumpost_core.prefill.engine_costs import MEMORY_RATIO, SPREAD_SECONDS
from gypsumpost_core.prefill.engine_load import EngineLoad
from gypsumpost_core.prefill.obstacle import Obstacle
from gypsumpost_core.prefill.prefill_turns import MAX_BACKLOG_SECONDS
from gypsumpost_core.prefill.prompt_grant import PromptGrant
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt

MAX_WAITING = 256
"""Prompts that wait on a host; further ones are refused."""

LATE_MEMORY_RATIO = 0.6
"""``MEMORY_RATIO`` for prompts whose first event will be late. The rest stays free for prompts that
can still be on time, also those of other hosts."""

COPY_SLACK_SECONDS = 0.3
"""Time before the latest start of a prompt at which it no longer waits for room for its copy."""


@attrs.define(kw_only=True)
class PromptQueue:
    """The prompts of one host that wait for an engine.

    :param rng: random number generator that spreads prompts over engines.
    """

    rng: random.Random
    _prompts: dict[str, WaitingPrompt] = attrs.field(factory=dict, init=False)
    _obstacles: dict[str, Obstacle] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._prompts)

    def add(self, prompt: WaitingPrompt) -> bool:
        """Let a prompt wait; return false if the queue is full."""
        if len(self._prompts) >= MAX_WAITING and not prompt.started:
            return False
        self._prompts[prompt.request_id] = prompt
        return True

    def remove(self, prompt: WaitingPrompt) -> None:
        """Remove a prompt that no longer waits."""
        if self._prompts.get(prompt.request_id) is prompt:
            del self._prompts[prompt.request_id]
            self._obstacles.pop(prompt.request_id, None)

    def grant(self, service: str, engines: Sequence[EngineLoad], now: float) -> list[PromptGrant]:
        """Return the prompts to send now, and remove them from the queue.

        Started streams go first, then the prompts that can still be on time in the order of their
        latest starts, then the others by priority. A prompt that finds no room does not hold up
        those behind it.

        :param service: the service.
        :param engines: its engines; granted prompts are added to their load.
        :param now: monotonic time in seconds.
        """
        if not engines:
            return []
        best_rate = max(engine.prefill_rate for engine in engines)
        waiting = [prompt for prompt in self._prompts.values() if prompt.service == service]
        waiting.sort(key=lambda prompt: rank(prompt, best_rate, now))
        grants = []
        for prompt in waiting:
            found = self._find_engine(prompt, select_engines(prompt, engines), best_rate, now)
            if isinstance(found, Obstacle):
                self._obstacles[prompt.request_id] = found
            else:
                self.remove(prompt)
                grants.append(found)
        return grants

    def _find_engine(
        self,
        prompt: WaitingPrompt,
        engines: Sequence[EngineLoad],
        best_rate: float,
        now: float,
    ) -> PromptGrant | Obstacle:
        slack = compute_slack(prompt, best_rate, now)
        late = slack < 0 and not prompt.started
        usable = [
            engine
            for engine in engines
            if has_room(engine, prompt, late=late)
            and engine.state.record.endpoint_id not in prompt.tried
            and (late or prompt.started or is_on_time(engine, prompt, now))
        ]
        if not usable:
            return find_obstacle(engines, prompt, late=late)
        domains = find_copy_domains(engines, prompt.total_tokens) if prompt.wants_copy else set()
        protected = [engine for engine in usable if domains - {get_domain(engine)}]
        waits = not prompt.started and (late or slack > COPY_SLACK_SECONDS)
        if waits and not protected and can_be_copied(engines, prompt):
            return Obstacle.COPY
        chosen = choose_cheap(
            self.rng,
            protected or usable,
            lambda engine: engine.estimate_cost(prompt.prompt_tokens),
            SPREAD_SECONDS,
        )
        chosen.add(prompt)
        return PromptGrant(
            prompt=prompt,
            engine=chosen.state,
            with_copy=bool(protected),
            late=late,
            waited_for=self._obstacles.get(prompt.request_id),
        )


def select_engines(prompt: WaitingPrompt, engines: Sequence[EngineLoad]) -> Sequence[EngineLoad]:
    """Return the engines to which a prompt may go, for example those of one version.

    :param prompt: the prompt.
    :param engines: all engines of the service.
    """
    if prompt.select is None:
        return engines
    selected = prompt.select([engine.state for engine in engines], prompt.tried)
    ids = {state.record.endpoint_id for state in selected}
    return [engine for engine in engines if engine.state.record.endpoint_id in ids]


def compute_slack(prompt: WaitingPrompt, rate: float, now: float) -> float:
    """Return the time in seconds for which a prompt can wait and still be on time.

    :param prompt: the prompt.
    :param rate: prefill rate of an idle engine in tokens per second.
    :param now: monotonic time in seconds.
    """
    return prompt.first_event_by - now - prompt.prompt_tokens / rate


def rank(prompt: WaitingPrompt, rate: float, now: float) -> tuple[int, int, float]:
    """Return the sort key of a prompt, the lowest goes first.

    :param prompt: the prompt.
    :param rate: prefill rate of an idle engine in tokens per second.
    :param now: monotonic time in seconds.
    """
    slack = compute_slack(prompt, rate, now)
    if prompt.started:
        return (0, 0, slack)
    if slack >= 0:
        return (1, 0, slack)
    return (2, prompt.priority, slack)


def is_on_time(engine: EngineLoad, prompt: WaitingPrompt, now: float) -> bool:
    """Return true if the first event of a prompt comes in time from an engine.

    :param engine: the engine.
    :param prompt: the prompt.
    :param now: monotonic time in seconds.
    """
    return now + engine.estimate_first_event(prompt.prompt_tokens) <= prompt.first_event_by


def has_room(engine: EngineLoad, prompt: WaitingPrompt, *, late: bool) -> bool:
    """Return true if an engine can begin with a prompt at once.

    :param engine: the engine.
    :param prompt: the prompt.
    :param late: true if its first event will be late anywhere.
    """
    if engine.backlog_seconds > MAX_BACKLOG_SECONDS and not prompt.started:
        return False
    if engine.running >= engine.slots:
        return False
    # A prompt larger than the share goes to an engine without streams.
    ratio = LATE_MEMORY_RATIO if late else MEMORY_RATIO
    return engine.has_memory(prompt.total_tokens, ratio) or not engine.reserved_tokens


def find_obstacle(engines: Iterable[EngineLoad], prompt: WaitingPrompt, *, late: bool) -> Obstacle:
    """Return why no engine can begin with a prompt.

    :param engines: the engines.
    :param prompt: the prompt.
    :param late: true if its first event will be late anywhere.
    """
    ratio = LATE_MEMORY_RATIO if late else MEMORY_RATIO
    if any(engine.has_memory(prompt.total_tokens, ratio) for engine in engines):
        return Obstacle.PREFILL
    return Obstacle.MEMORY


def can_be_copied(engines: Sequence[EngineLoad], prompt: WaitingPrompt) -> bool:
    """Return true if room for the copy of a stream may come free.

    :param engines: the engines.
    :param prompt: the prompt of the stream.
    """
    if not prompt.wants_copy or len({get_domain(engine) for engine in engines}) < 2:
        return False
    return any(prompt.total_tokens <= MEMORY_RATIO * engine.memory_tokens for engine in engines)


def find_copy_domains(engines: Iterable[EngineLoad], total_tokens: int) -> set[str]:
    """Return up to two domains that have room for the copy of a stream.

    Two are enough: whatever the domain of the stream, one of them is another one.

    :param engines: the engines.
    :param total_tokens: maximum tokens of the stream.
    """
    found: set[str] = set()
    for engine in engines:
        if engine.has_memory(total_tokens, MEMORY_RATIO):
            found.add(get_domain(engine))
            if len(found) == 2:
                break
    return found


def get_domain(engine: EngineLoad) -> str:
    """Return the failure domain of an engine."""
    return engine.state.record.failure_domain
