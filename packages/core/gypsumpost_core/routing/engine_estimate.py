"""Estimates of an engine's speed and load."""

from collections import deque

import attrs

from gypsumpost_core.routing.engine_load import EngineLoad
from gypsumpost_core.routing.routing_settings import RoutingSettings
from gypsumpost_core.routing.sample_clock import SampleClock
from gypsumpost_core.smoothed_value import SmoothedValue
from gypsumpost_core.weighted_line import WeightedLine

CHANGE_LIMIT = 4096
"""Starts and ends of this daemon's attempts that are kept while no load report arrives."""


SLOT_GROWTH = 2.0
"""Assumed ratio of batch limit to running generations for an engine that never queued any."""

MIN_PROMPT_TOKENS = 200
"""The first token of a shorter prompt takes a time that does not depend on its length."""


@attrs.define(kw_only=True)
class EngineEstimate:
    """Decode speed by batch size, prefill speed, and reported load corrected by own attempts.

    :param settings: routing settings.
    :param report: latest load report.
    :param in_flight: number of attempts of this daemon on the engine.
    """

    settings: RoutingSettings
    report: EngineLoad | None = None
    in_flight: int = 0
    token_samples: int = 0
    _sampled_at: float = float("-inf")
    _slots: int = 0
    _changes: deque[tuple[float, int]] = attrs.field(factory=lambda: deque(maxlen=CHANGE_LIMIT))
    _change_sum: int = 0
    _clock: SampleClock = attrs.field(factory=SampleClock)
    _token_line: WeightedLine = attrs.field(factory=WeightedLine)
    _prefill: SmoothedValue = attrs.field(factory=SmoothedValue)

    def __attrs_post_init__(self) -> None:
        self._token_line.observe(1, self.settings.token_time)
        self._token_line.observe(self.settings.slots, 2 * self.settings.token_time)

    def apply_report(self, load: EngineLoad, now: float) -> bool:
        """Apply a load report.

        :param load: the report.
        :param now: monotonic time of its arrival in seconds.
        :returns: false if the report is older than the latest one and was ignored.
        """
        sampled_at = self._clock.convert(load.sampled_at, now)
        if self.report is not None and sampled_at < self._sampled_at:
            return False
        self.report = load
        self._sampled_at = sampled_at
        if load.waiting or load.running > self._slots > 0:
            self._slots = load.running
        while self._changes and self._changes[0][0] <= sampled_at:
            self._changes.popleft()
        self._change_sum = sum(change for _, change in self._changes)
        return True

    def add_start(self, now: float) -> None:
        """Count an attempt sent to the engine."""
        self.in_flight += 1
        self._add_change(now, 1)

    def add_end(self, now: float) -> None:
        """Count the end of an attempt."""
        self.in_flight = max(0, self.in_flight - 1)
        self._add_change(now, -1)

    def observe_first_token(self, wait: float, prompt_tokens: int) -> None:
        """Record the seconds to the first token of an attempt.

        Ignored while the engine is expected to queue, as the time then includes the queue, and for
        prompts shorter than ``MIN_PROMPT_TOKENS``.
        """
        if self.estimate_queue() < 1 and prompt_tokens >= MIN_PROMPT_TOKENS:
            self._prefill.observe(wait / prompt_tokens)

    def observe_tokens(self, count: int, gap: float) -> None:
        """Record a number of tokens and the seconds since the previous tokens of the stream."""
        if count > 0:
            self.token_samples += 1
            self._token_line.observe(self.estimate_load(), gap / count)

    def estimate_load(self) -> int:
        """Return the estimated number of generations on the engine, queued ones included."""
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return max(self.in_flight, reported + self._change_sum)

    def get_slots(self) -> int:
        """Return the batch limit, as observed when the engine last queued requests.

        For an engine that has never queued any, a limit above its running generations is assumed.
        """
        running = self.in_flight if self.report is None else self.report.running
        return self._slots or max(self.settings.slots, int(running * SLOT_GROWTH) + 1)

    def estimate_queue(self) -> float:
        """Return the expected length of the engine's queue."""
        return max(0.0, self.estimate_load() + 1 - self.get_slots())

    def estimate_token_time(self, load: float) -> float:
        """Return the estimated seconds per token of one stream.

        :param load: number of generations on the engine.
        """
        return self._token_line.predict(min(load, self.get_slots()))

    def get_prefill_time(self) -> float:
        """Return the estimated prefill time in seconds per prompt token."""
        return self._prefill.mean if self._prefill.count else self.settings.prefill_time

    def estimate_first_token_time(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected seconds from sending a request to its first token.

        :param prompt_tokens: prompt tokens that are not cached.
        :param output_tokens: expected output tokens of the generations ahead in the queue.
        """
        token_time = self.estimate_token_time(self.estimate_load() + 1)
        turn_time = output_tokens * token_time / self.get_slots()
        wait = self.estimate_queue() * turn_time
        return wait + prompt_tokens * self.get_prefill_time() + token_time

    def estimate_output_time(self, output_tokens: float) -> float:
        """Return the expected seconds from the first to the last token."""
        return output_tokens * self.estimate_token_time(self.estimate_load() + 1)

    def reset_load(self) -> None:
        """Discard the load of an engine process that has ended; the speeds are kept."""
        self.report = None
        self._sampled_at = float("-inf")
        self._clock.reset()
        self._changes.clear()
        self._change_sum = 0

    def _add_change(self, now: float, change: int) -> None:
        self._changes.append((now, change))
        self._change_sum += change
