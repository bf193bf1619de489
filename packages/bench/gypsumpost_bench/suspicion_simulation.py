"""A simulation of crash-causing requests mixed with innocent requests."""

import random

import attrs

from gypsumpost_bench.simulated_clock import SimulatedClock
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.suspicion.crash_suspicion import CrashSuspicion
from gypsumpost_core.suspicion.suspicion_decision import SuspicionVerdict

ENGINES = 9
DAEMONS = 3
INNOCENT_RATE = 4.0
"""Innocent requests per second."""

INNOCENT_TIME = 12.0
"""Mean seconds of an innocent generation."""

CRASH_DELAY = (0.05, 0.8)
"""Seconds from the start of a crash-causing request to the death of its engine."""

RESTART_TIME = 5.0
REPEAT_INTERVAL = 0.5
"""Seconds after which the caller of a crash-causing request sends it again."""

CALLER_RETRY_SHARE = 0.5
"""Share of the crashes after which the caller sends the request again, to any daemon; after the
others the daemon continues it on another engine."""

REPORT_INTERVAL = 0.05
RETRY_DELAY = 0.1


@attrs.define(kw_only=True, eq=False)
class SimulatedRequest:
    """A request with its current attempt; its progress survives the loss of an engine."""

    fingerprint: str
    daemon: int
    remaining: float
    harmful: bool
    attempt: int = 0
    engine: str = ""
    started_at: float = 0.0


@attrs.define(kw_only=True)
class SuspicionSimulation:
    """Three daemons of one domain that serve nine engines.

    :param suspicion_enabled: false for the baseline, which runs requests on any engine.
    :param harmful: number of different crash-causing requests, each repeated by its caller.
    :param crash_interval: mean seconds between crashes, over all engines, that no request causes.
    :param duration: simulated seconds.
    """

    suspicion_enabled: bool
    harmful: int
    crash_interval: float
    duration: float
    seed: int = 1
    engines_lost: dict[str, int] = attrs.field(factory=dict)
    ordinary_crashes: int = 0
    false_quarantines: int = 0
    innocents: int = 0
    completed: int = 0
    _clock: SimulatedClock = attrs.field(factory=SimulatedClock)
    _daemons: list[CrashSuspicion] = attrs.field(factory=list)
    _boots: dict[str, int] = attrs.field(factory=dict)
    _dead: set[str] = attrs.field(factory=set)
    _running: dict[str, set[SimulatedRequest]] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._daemons = [
            CrashSuspicion(slot_index=number, slot_count=DAEMONS) for number in range(DAEMONS)
        ]
        self._boots = {f"e{number}": 0 for number in range(ENGINES)}
        self._running = {engine: set() for engine in self._boots}

    def run(self) -> None:
        """Run all arrivals, and 200 s more for the requests to end."""
        self._schedule_arrivals(INNOCENT_RATE, self._arrive_innocent)
        self._schedule_arrivals(1 / self.crash_interval, self._crash_random_engine)
        for number in range(self.harmful):
            at = self.duration / 10 + 20.0 * number
            self._clock.call_at(at, lambda number=number: self._send_harmful(number))  # type: ignore
        self._clock.call_every(REPORT_INTERVAL, self._exchange_reports)
        self._clock.run_until(self.duration + 200)

    def _schedule_arrivals(self, rate: float, callback) -> None:  # type: ignore[no-untyped-def]
        time = self._rng.expovariate(rate)
        while time < self.duration:
            self._clock.call_at(time, callback)
            time += self._rng.expovariate(rate)

    def _arrive_innocent(self) -> None:
        self.innocents += 1
        self._try_start(
            SimulatedRequest(
                fingerprint=f"innocent-{self.innocents}",
                daemon=self._rng.randrange(DAEMONS),
                remaining=self._rng.expovariate(1 / INNOCENT_TIME),
                harmful=False,
            )
        )

    def _send_harmful(self, number: int) -> None:
        if self._clock.now > self.duration:
            return
        request = SimulatedRequest(
            fingerprint=f"harmful-{number}",
            daemon=self._rng.randrange(DAEMONS),
            remaining=1e9,
            harmful=True,
        )
        self._try_start(request)

    def _try_start(self, request: SimulatedRequest) -> None:
        now = self._clock.now
        live = [engine for engine in self._boots if engine not in self._dead]
        engine = self._choose_engine(request, live)
        if engine is None:
            return
        if engine == "" or engine in self._dead:
            self._clock.call_at(now + RETRY_DELAY, lambda: self._try_start(request))
            return
        request.attempt += 1
        request.engine = engine
        request.started_at = now
        self._running[engine].add(request)
        self._daemons[request.daemon].record_start(request.fingerprint, engine, now)
        attempt = request.attempt
        if request.harmful:
            crash_at = now + self._rng.uniform(*CRASH_DELAY)
            self._clock.call_at(crash_at, lambda: self._crash_engine(request, attempt))
        else:
            end = now + request.remaining
            self._clock.call_at(end, lambda: self._complete(request, attempt))

    def _choose_engine(self, request: SimulatedRequest, live: list[str]) -> str | None:
        """Return an engine, an empty string to wait, or ``None`` if the request is refused."""
        if not self.suspicion_enabled:
            return self._rng.choice(live) if live else ""
        daemon = self._daemons[request.daemon]
        decision = daemon.decide(request.fingerprint, live, self._clock.now)
        if decision.verdict is SuspicionVerdict.QUARANTINED:
            self.false_quarantines += not request.harmful
            return None
        if decision.verdict is SuspicionVerdict.WAIT:
            return ""
        open_engines = [engine for engine in live if engine not in decision.excluded]
        chosen = self._rng.choice(open_engines) if open_engines else ""
        return decision.engine or chosen

    def _crash_engine(self, request: SimulatedRequest, attempt: int) -> None:
        if request in self._running[request.engine] and request.attempt == attempt:
            lost = self.engines_lost.get(request.fingerprint, 0)
            self.engines_lost[request.fingerprint] = lost + 1
            self._kill(request.engine)

    def _crash_random_engine(self) -> None:
        live = sorted(set(self._boots) - self._dead)
        if live:
            self.ordinary_crashes += 1
            self._kill(self._rng.choice(live))

    def _kill(self, engine: str) -> None:
        now = self._clock.now
        for daemon in self._daemons:
            daemon.record_death(engine, str(self._boots[engine]), now)
        self._dead.add(engine)
        self._boots[engine] += 1
        self._clock.call_at(now + RESTART_TIME, lambda: self._dead.discard(engine))
        lost = sorted(self._running[engine], key=lambda request: request.fingerprint)
        self._running[engine].clear()
        for request in lost:
            request.remaining -= now - request.started_at
            self._continue(request)

    def _continue(self, request: SimulatedRequest) -> None:
        if request.harmful and self._rng.random() < CALLER_RETRY_SHARE:
            number = int(request.fingerprint.rpartition("-")[2])
            at = self._clock.now + REPEAT_INTERVAL
            self._clock.call_at(at, lambda: self._send_harmful(number))
        elif self._clock.now < self.duration or not request.harmful:
            self._try_start(request)

    def _complete(self, request: SimulatedRequest, attempt: int) -> None:
        if request.attempt != attempt or request not in self._running[request.engine]:
            return
        self._running[request.engine].discard(request)
        self.completed += 1
        self._daemons[request.daemon].record_end(
            request.fingerprint, request.engine, AttemptOutcome.FINISHED, self._clock.now
        )

    def _exchange_reports(self) -> None:
        for sender in self._daemons:
            for report in sender.list_reports(self._clock.now):
                for receiver in self._daemons:
                    if receiver is not sender:
                        receiver.apply_report(report, self._clock.now)
