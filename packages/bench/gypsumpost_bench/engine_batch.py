"""Continuous batching of the engine stand-in."""

import attrs
import trio

from gypsumpost_bench.engine_sequence import EngineSequence
from gypsumpost_bench.prefix_cache import PrefixCache
from gypsumpost_bench.token_counter import TokenCounter

UNREAD_GRACE_SECONDS = 10.0
"""A stream is cancelled after this time without a reader."""

MAX_STREAMS = 2_000


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed of an engine.

    :param token_gap: seconds between tokens of a generation, without the slowdown by the batch.
    :param batch_slowdown: fraction of the gap that each generation in the batch adds.
    :param prefill: prefill time in seconds for each prompt token that is not cached.
    :param max_batch: maximum number of generations in the batch.
    """

    token_gap: float = 0.042
    batch_slowdown: float = 0.004
    prefill: float = 0.00002
    max_batch: int = 64


class EngineBatch:
    """Runs sequences in steps; each step produces one token for every running sequence.

    :param speed: speed of the engine.
    :param cache: the prefix cache.
    :param counter: counts the produced tokens in a file that outlives this process.
    """

    def __init__(
        self, *, speed: EngineSpeed, cache: PrefixCache, counter: TokenCounter | None = None
    ) -> None:
        self._speed = speed
        self._counter = counter or TokenCounter(path=None)
        self.cache = cache
        self.slow_factor = 1.0
        self.running: list[EngineSequence] = []
        self.waiting: list[EngineSequence] = []
        self.streams: dict[str, EngineSequence] = {}
        self._arrived = trio.Event()

    def submit(self, sequence: EngineSequence) -> None:
        """Queue a sequence; the oldest of more than ``MAX_STREAMS`` streams is forgotten.

        :param sequence: the new sequence.
        """
        self.streams[sequence.stream_id] = sequence
        while len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda waiting: -waiting.priority)
        self._admit_sequences(trio.current_time())
        self._arrived.set()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._arrived = trio.Event()
                await self._arrived.wait()
            gap = self._speed.token_gap * (1 + self._speed.batch_slowdown * len(self.running))
            await trio.sleep(gap * self.slow_factor)
            self._step(trio.current_time())

    def _step(self, now: float) -> None:
        for sequence in self.running:
            if now - sequence.unread_since > UNREAD_GRACE_SECONDS and not sequence.readers:
                sequence.finish("cancelled")
            elif (
                sequence.finish_reason is None and not sequence.stalled and now >= sequence.ready_at
            ):
                sequence.produce_token()
                self._counter.add()
        self.running = [s for s in self.running if s.finish_reason is None]
        self.waiting = [s for s in self.waiting if s.finish_reason is None]
        self._admit_sequences(now)

    def _admit_sequences(self, now: float) -> None:
        while self.waiting and len(self.running) < self._speed.max_batch:
            sequence = self.waiting.pop(0)
            cached = self.cache.add_prompt(sequence.prompt)
            prefill = (len(sequence.prompt) - cached) * self._speed.prefill
            sequence.ready_at = now + prefill * self.slow_factor
            sequence.unread_since = now
            self.running.append(sequence)
