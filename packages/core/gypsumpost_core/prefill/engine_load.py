"""Load of one engine, as far as it matters to a waiting prompt."""

import attrs

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.prefill.engine_costs import STREAM_DELAY_SECONDS
from gypsumpost_core.prefill.prefill_turns import MAX_BACKLOG_SECONDS
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt

FULL_MEMORY_SECONDS = 0.5
"""Cost of an engine whose memory is full: the streams that run there produce events more slowly and
are held up by the prompt."""


@attrs.define(kw_only=True)
class EngineLoad:
    """Load of an engine by the streams of all hosts.

    :param state: the engine.
    :param prefill_rate: prompt tokens that it prefills per second.
    :param slots: streams that it runs at the same time.
    :param memory_tokens: tokens that fit into its memory.
    :param penalty_seconds: cost of using this engine rather than an equally loaded one.
    :param running: its streams.
    :param prefill_tokens: prompt tokens that it has not prefilled yet.
    :param reserved_tokens: tokens of its streams and of the copies that it holds.
    """

    state: EndpointState
    prefill_rate: float
    slots: int
    memory_tokens: int
    penalty_seconds: float = 0.0
    running: int = 0
    prefill_tokens: int = 0
    reserved_tokens: int = 0

    @property
    def backlog_seconds(self) -> float:
        """Time until the engine has prefilled the prompts that it has."""
        return self.prefill_tokens / self.prefill_rate

    def close_until(self, opens_at: float, now: float) -> None:
        """Count prompts that other hosts have been granted and have not reported yet.

        :param opens_at: monotonic time in seconds at which the engine takes a further prompt.
        :param now: monotonic time in seconds.
        """
        seconds = opens_at - now + MAX_BACKLOG_SECONDS
        self.prefill_tokens = max(self.prefill_tokens, round(seconds * self.prefill_rate))

    def has_memory(self, tokens: int, ratio: float) -> bool:
        """Return true if a stream fits.

        :param tokens: maximum tokens of the stream.
        :param ratio: share of the memory that may be reserved.
        """
        return self.reserved_tokens + tokens <= ratio * self.memory_tokens

    def estimate_first_event(self, prompt_tokens: int) -> float:
        """Return the time in seconds until the first event of a prompt that is sent now.

        :param prompt_tokens: tokens of the prompt.
        """
        return (self.prefill_tokens + prompt_tokens) / self.prefill_rate

    def estimate_cost(self, prompt_tokens: int) -> float:
        """Return the cost in seconds of sending a prompt here.

        :param prompt_tokens: tokens of the prompt.
        """
        return (
            self.estimate_first_event(prompt_tokens)
            + self.penalty_seconds
            + STREAM_DELAY_SECONDS * self.running
            + FULL_MEMORY_SECONDS * self.reserved_tokens / self.memory_tokens
        )

    def add(self, prompt: WaitingPrompt) -> None:
        """Count a prompt that is sent to the engine."""
        self.running += 1
        self.prefill_tokens += prompt.prompt_tokens
        self.reserved_tokens += prompt.total_tokens
