"""A simulated engine with continuous batching."""

import heapq
import math
from collections import deque

import attrs

from gypsumpost_bench.simulated_clock import SimulatedClock
from gypsumpost_bench.simulated_job import SimulatedJob
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.engine_load import EngineLoad
from gypsumpost_core.routing.model_ref import ModelRef

MODEL = ModelRef(model="m")

SAMPLE_INTERVAL = 0.5
"""Seconds between the samples of the load report."""


@attrs.define(kw_only=True, eq=False)
class SimulatedEngine:
    """An engine whose jobs all advance at the same speed, which falls as the batch grows.

    :param name: name of the engine.
    :param failure_domain: its failure domain.
    :param clock: the simulated clock.
    :param token_time: seconds per token without the slowdown by the batch; a full batch doubles it.
    :param prefill_time: seconds per prompt token.
    :param slots: maximum number of jobs in the batch; others wait.
    :param alive: false after ``kill``.
    """

    name: str
    failure_domain: str
    clock: SimulatedClock
    token_time: float = 0.03
    prefill_time: float = 0.0002
    slots: int = 24
    alive: bool = True
    boot: int = 0
    _jobs: set[SimulatedJob] = attrs.field(factory=set)
    _waiting: deque[SimulatedJob] = attrs.field(factory=deque)
    _prefilling: set[SimulatedJob] = attrs.field(factory=set)
    _decoding: list[tuple[float, int, SimulatedJob]] = attrs.field(factory=list)
    _tokens: float = 0.0
    _updated_at: float = 0.0
    _sequence: int = 0
    _timer: int = 0
    _sample: EngineLoad | None = None

    def __attrs_post_init__(self) -> None:
        self.clock.call_every(SAMPLE_INTERVAL, self._update_sample)

    def compute_token_time(self, batch: int) -> float:
        """Return the seconds per token of each job in a batch."""
        return self.token_time * (1 + batch / self.slots)

    def compute_capacity(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the maximum throughput in generations per second."""
        duration = prompt_tokens * self.prefill_time
        duration += output_tokens * self.compute_token_time(self.slots)
        return self.slots / duration

    def count_jobs(self) -> int:
        """Return the number of jobs, waiting ones included."""
        return len(self._jobs)

    def submit(self, job: SimulatedJob) -> bool:
        """Queue a job and return true, or return false if the engine is dead."""
        if not self.alive:
            return False
        self._jobs.add(job)
        self._waiting.append(job)
        self._fill_batch()
        return True

    def cancel(self, job: SimulatedJob) -> None:
        """Cancel a job; a job that has ended is ignored."""
        if job in self._jobs:
            self._advance()
            self._end(job, AttemptOutcome.CANCELLED)
            self._decoding = [entry for entry in self._decoding if entry[2] is not job]
            heapq.heapify(self._decoding)
            self._fill_batch()
            self._set_timer()

    def kill(self) -> None:
        """Kill the engine, which ends all its jobs."""
        self._advance()
        self.alive = False
        self._timer += 1
        jobs = sorted(self._jobs, key=lambda job: job.finish_at)
        for job in jobs:
            self._end(job, AttemptOutcome.DIED)
        self._decoding.clear()

    def revive(self) -> None:
        """Restart the engine without jobs."""
        self.alive = True
        self.boot += 1
        self._updated_at = self.clock.now
        self._update_sample()

    def get_report(self) -> EngineLoad | None:
        """Return the last load sample, ``None`` if the engine is dead."""
        return self._sample if self.alive else None

    def _update_sample(self) -> None:
        self._sample = EngineLoad(
            boot_id=str(self.boot),
            running=len(self._jobs) - len(self._waiting),
            waiting=len(self._waiting),
            cache_used=0.0,
            sampled_at=self.clock.now,
            draining=False,
            models=(MODEL,),
        )

    def _fill_batch(self) -> None:
        while self._waiting and len(self._prefilling) + len(self._decoding) < self.slots:
            self._start_prefill(self._waiting.popleft())

    def _start_prefill(self, job: SimulatedJob) -> None:
        self._prefilling.add(job)
        token_time = self.compute_token_time(len(self._decoding) + 1)
        ready_at = self.clock.now + job.prompt_tokens * self.prefill_time + token_time
        self.clock.call_at(ready_at, lambda: self._start_decoding(job))

    def _start_decoding(self, job: SimulatedJob) -> None:
        if job not in self._prefilling:
            return
        self._prefilling.remove(job)
        self._advance()
        job.finish_at = self._tokens + job.output_tokens
        self._sequence += 1
        heapq.heappush(self._decoding, (job.finish_at, self._sequence, job))
        job.on_first_token()
        self._set_timer()

    def _advance(self) -> None:
        elapsed = self.clock.now - self._updated_at
        if self._decoding:
            self._tokens += elapsed / self.compute_token_time(len(self._decoding))
        self._updated_at = self.clock.now

    def _set_timer(self) -> None:
        self._timer += 1
        if not self._decoding:
            return
        timer = self._timer
        remaining = max(0.0, self._decoding[0][0] - self._tokens)
        at = self.clock.now + remaining * self.compute_token_time(len(self._decoding))
        self.clock.call_at(at, lambda: self._finish_due(timer))

    def _finish_due(self, timer: int) -> None:
        if timer != self._timer:
            return
        self._advance()
        while self._decoding and self._decoding[0][0] <= self._tokens + 1e-6:
            self._end(heapq.heappop(self._decoding)[2], AttemptOutcome.FINISHED)
        self._fill_batch()
        self._set_timer()

    def _end(self, job: SimulatedJob, outcome: AttemptOutcome) -> None:
        self._jobs.discard(job)
        self._prefilling.discard(job)
        if job in self._waiting:
            self._waiting.remove(job)
        done = 0
        if job.finish_at:
            remaining = max(0, math.ceil(job.finish_at - self._tokens))
            done = max(0, job.output_tokens - remaining)
        job.on_end(outcome, done)
