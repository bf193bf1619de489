"""Tests of the detection of crash-causing requests."""

import random

from hypothesis import given, settings
from hypothesis import seed as fix_seed
from hypothesis import strategies as st

from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.run_state import RunState
from gypsumpost_core.suspicion.crash_suspicion import CrashSuspicion
from gypsumpost_core.suspicion.suspicion_decision import SuspicionVerdict
from gypsumpost_core.suspicion.suspicion_settings import SuspicionSettings

ENGINES = [f"e{i}" for i in range(6)]


def kill(suspicion: CrashSuspicion, engine: str, now: float) -> None:
    suspicion.record_death(engine, f"boot-{now}", now)


def crash_twice(suspicion: CrashSuspicion, fingerprint: str = "bad") -> None:
    for turn, engine in enumerate(("e0", "e1")):
        suspicion.record_start(fingerprint, engine, turn * 10.0)
        kill(suspicion, engine, turn * 10.0 + 0.1)


def test_crash_causing_request_costs_three_engines() -> None:
    """Guards against a request that crashes one engine after another without limit."""
    suspicion, lost, now = CrashSuspicion(), 0, 0.0
    for _ in range(100):
        now += 0.3
        decision = suspicion.decide("bad", ENGINES, now, has_run=True)
        if decision.verdict in (SuspicionVerdict.RUN_SHARED, SuspicionVerdict.RUN_ISOLATED):
            engine = decision.engine or "e0"
            suspicion.record_start("bad", engine, now)
            kill(suspicion, engine, now + 0.1)
            lost += 1
    assert lost == 3
    assert decision.verdict is SuspicionVerdict.QUARANTINED
    assert decision.failure is not None
    assert decision.failure.run_state is RunState.RUN
    fresh = suspicion.decide("bad", ENGINES, now)
    assert fresh.failure is not None
    assert fresh.failure.run_state is RunState.NOT_RUN


def test_suspect_runs_alone_on_a_reserved_engine() -> None:
    """Guards against harmless requests that run beside a suspect and become suspected too."""
    suspicion = CrashSuspicion()
    crash_twice(suspicion)
    for engine in ENGINES[:5]:
        suspicion.record_start(f"long-{engine}", engine, 20.0)
    decision = suspicion.decide("bad", ENGINES, 20.0)
    assert (decision.verdict, decision.engine) == (SuspicionVerdict.RUN_ISOLATED, "e5")
    assert "e5" in suspicion.decide("other", ENGINES, 20.0).excluded
    suspicion.record_start("bad", "e5", 20.0)
    assert suspicion.decide("bad", ENGINES, 20.1).verdict is SuspicionVerdict.WAIT


def test_suspect_waits_for_a_busy_fleet_only_for_a_while() -> None:
    """Guards against a suspect that never runs because no engine ever becomes idle."""
    suspicion = CrashSuspicion()
    crash_twice(suspicion)
    for engine in ENGINES:
        suspicion.record_start(f"long-{engine}", engine, 20.0)
    assert suspicion.decide("bad", ENGINES, 20.0).verdict is SuspicionVerdict.WAIT
    assert suspicion.decide("bad", ENGINES, 21.1).verdict is SuspicionVerdict.RUN_ISOLATED


def test_finished_run_clears_the_suspicion() -> None:
    """Guards against a harmless request that stays isolated after two unrelated crashes."""
    suspicion = CrashSuspicion()
    crash_twice(suspicion)
    suspicion.record_start("bad", "e5", 20.0)
    suspicion.record_end("bad", "e5", AttemptOutcome.FINISHED, 21.0)
    assert suspicion.decide("bad", ENGINES, 21.0).verdict is SuspicionVerdict.RUN_SHARED


def test_loss_of_a_domain_suspects_nobody() -> None:
    """Guards against suspicion of all requests that ran in a failed domain."""
    suspicion = CrashSuspicion()
    for engine in ENGINES[:2]:
        suspicion.record_start("r", engine, 0.0)
    for engine in ENGINES[:4]:
        suspicion.record_start(f"only-{engine}", engine, 0.0)
        kill(suspicion, engine, 0.1)
    for engine in ENGINES[:4]:
        single = suspicion.decide(f"only-{engine}", ENGINES, 0.1)
        assert single.verdict is SuspicionVerdict.RUN_SHARED
    assert suspicion._register.count_deaths("r", 0.1) == 0
    # The request ran on several dying engines, so it waits until the common cause window ends.
    assert suspicion.decide("r", ENGINES, 1.0).verdict is SuspicionVerdict.WAIT
    assert suspicion.decide("r", ENGINES, 1.2).verdict is SuspicionVerdict.RUN_SHARED


def test_staggered_loss_of_a_domain_suspects_nobody() -> None:
    """Guards against quarantine of a request that was retried on several dying engines."""
    suspicion, now = CrashSuspicion(), 0.0
    for engine in ENGINES[:4]:
        if suspicion.decide("r", ENGINES, now).verdict is SuspicionVerdict.RUN_SHARED:
            suspicion.record_start("r", engine, now)
        kill(suspicion, engine, now + 0.1)
        now += 0.2
    assert suspicion.decide("r", ENGINES, 3.0).verdict is SuspicionVerdict.RUN_SHARED


def test_common_cause_is_granted_once() -> None:
    """Guards against crash-causing requests whose deaths look like a common cause each time."""
    suspicion, lost, now = CrashSuspicion(), 0, 0.0
    for _ in range(400):
        now += 0.1
        for name in ("bad-1", "bad-2", "bad-3"):
            decision = suspicion.decide(name, ENGINES, now)
            if decision.verdict in (SuspicionVerdict.RUN_SHARED, SuspicionVerdict.RUN_ISOLATED):
                engine = decision.engine or f"e-{name}"
                suspicion.record_start(name, engine, now)
                kill(suspicion, engine, now + 0.01)
                lost += 1
    assert lost <= 3 * 6


def test_same_request_in_parallel_uses_few_engines() -> None:
    """Guards against many engines lost when callers send the same request at the same time."""
    suspicion, used = CrashSuspicion(), set()
    for number in range(20):
        decision = suspicion.decide("bad", ENGINES, 0.0)
        engine = decision.engine or ENGINES[number % 6]
        suspicion.record_start("bad", engine, 0.0)
        used.add(engine)
    assert len(used) == 2


def test_reports_are_bounded_and_quarantine_at_the_other_daemon() -> None:
    """Guards against a request that costs three engines at each daemon of a domain."""
    first, second = CrashSuspicion(unix_offset=1000.0), CrashSuspicion(unix_offset=5000.0)
    crash_twice(first)
    second.record_start("bad", "e3", -3980.0)
    kill(second, "e3", -3979.9)
    for report in first.list_reports(20.1):
        second.apply_report(report, -3979.8)
    assert second.decide("bad", ENGINES, -3978.0).verdict is SuspicionVerdict.QUARANTINED
    assert first.list_reports(20.2) == []
    for number in range(100):
        first.record_start(f"r{number}", "e4", 30.0)
    kill(first, "e4", 30.1)
    assert len(first.list_reports(31.0)) == 16


def test_engine_of_an_isolated_run_is_held_in_the_whole_domain() -> None:
    """Guards against a harmless request on an engine that another daemon holds for a suspect."""
    first = CrashSuspicion(slot_index=0, slot_count=2)
    second = CrashSuspicion(slot_index=1, slot_count=2)
    for daemon, name in ((first, "bad"), (second, "bad"), (second, "innocent")):
        crash_twice(daemon, name)
    engine = first.decide("bad", ENGINES, 24.0).engine
    assert engine
    for report in first.list_reports(24.0):
        second.apply_report(report, 24.05)
    assert second.decide("bad", ENGINES, 24.05).verdict is SuspicionVerdict.WAIT
    assert engine in second.decide("other", ENGINES, 24.05).excluded
    waiting = second.decide("innocent", ENGINES, 24.05)
    assert waiting.check_at is not None
    decision = second.decide("innocent", ENGINES, waiting.check_at + 0.01)
    assert decision.verdict is SuspicionVerdict.RUN_ISOLATED
    assert decision.engine != engine
    assert engine not in second.decide("other", ENGINES, 26.0).excluded


def test_quarantine_clears_the_requests_that_died_with_it() -> None:
    """Guards against suspicion of a request that shared engines with a crash-causing one."""
    suspicion = CrashSuspicion()
    for turn, engine in enumerate(ENGINES[:3]):
        suspicion.record_start("bad", engine, turn * 10.0)
        if turn < 2:
            suspicion.record_start("innocent", engine, turn * 10.0)
        kill(suspicion, engine, turn * 10.0 + 0.1)
    assert suspicion.decide("bad", ENGINES, 30.0).verdict is SuspicionVerdict.QUARANTINED
    assert suspicion.decide("innocent", ENGINES, 30.0).verdict is SuspicionVerdict.RUN_SHARED


def test_crashes_by_chance_do_not_hide_the_third_death() -> None:
    """Guards against a fourth lost engine when other engines crash at the same time."""
    suspicion = CrashSuspicion()
    crash_twice(suspicion)
    suspicion.record_start("bad", "e2", 20.0)
    for engine in ENGINES[2:5]:
        kill(suspicion, engine, 20.1)
    assert suspicion.decide("bad", ENGINES, 22.0).verdict is SuspicionVerdict.QUARANTINED


def test_records_expire_at_their_deadline_and_are_bounded() -> None:
    """Guards against a quarantine without end and memory use that grows with requests."""
    limited = SuspicionSettings(record_limit=10)
    suspicion = CrashSuspicion(settings=limited)
    crash_twice(suspicion)
    for number in range(50):
        suspicion.record_start(f"r{number}", "e2", 20.0)
    kill(suspicion, "e2", 20.1)
    assert len(suspicion._register) == 10
    assert suspicion._register.count_deaths("bad", 21.0) == 2
    suspicion.expire(700.0)
    assert len(suspicion._register) == 0
    assert suspicion.decide("bad", ENGINES, 700.0).verdict is SuspicionVerdict.RUN_SHARED


def simulate_ordinary_crashes(number: int, crash_rate: float, duration: float) -> int:
    """Run harmless requests on engines that crash at random; return the number of quarantines."""
    rng = random.Random(number)
    suspicion, quarantined, now = CrashSuspicion(), 0, 0.0
    running: dict[str, tuple[str, float]] = {}
    for step in range(400):
        now += 0.25
        for engine in ENGINES:
            if rng.random() < crash_rate * 0.25:
                kill(suspicion, engine, now)
                running = {f: run for f, run in running.items() if run[0] != engine}
        for fingerprint in [f for f, (_, end) in running.items() if end <= now]:
            engine, _ = running.pop(fingerprint)
            suspicion.record_end(fingerprint, engine, AttemptOutcome.FINISHED, now)
        fingerprint = f"r{step % 40}"
        if fingerprint in running:
            continue
        decision = suspicion.decide(fingerprint, ENGINES, now)
        quarantined += decision.verdict is SuspicionVerdict.QUARANTINED
        if decision.verdict in (SuspicionVerdict.RUN_SHARED, SuspicionVerdict.RUN_ISOLATED):
            open_engines = [e for e in ENGINES if e not in decision.excluded]
            engine = decision.engine or rng.choice(open_engines)
            suspicion.record_start(fingerprint, engine, now)
            running[fingerprint] = (engine, now + rng.expovariate(1 / duration))
    return quarantined


@fix_seed(13)
@settings(max_examples=60, deadline=None, database=None)
@given(
    number=st.integers(0, 1_000_000),
    crash_rate=st.floats(0.0, 1 / 30),
    duration=st.floats(0.5, 60.0),
)
def test_ordinary_crashes_never_quarantine(number: int, crash_rate: float, duration: float) -> None:
    """Guards against false quarantines when each engine crashes up to twice a minute at random."""
    assert simulate_ordinary_crashes(number, crash_rate, duration) == 0
