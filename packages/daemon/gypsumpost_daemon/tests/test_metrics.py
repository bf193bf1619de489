"""Tests of metrics and their text format."""

from syrupy.assertion import SnapshotAssertion

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_events import CallerEvents
from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics
from gypsumpost_daemon.generations.stall_timer import StallTimer
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.telemetry.metrics_text import encode_metrics


def test_text_of_all_kinds(snapshot: SnapshotAssertion) -> None:
    """Guards against text that a scraper cannot parse, including unusual label values."""
    metrics = Metrics()
    generations = GenerationMetrics(metrics=metrics)
    generations.record_attempt(AttemptOutcome.DIED)
    generations.record_attempt(AttemptOutcome.FINISHED)
    generations.record_attempt(AttemptOutcome.DIED)
    for number in range(1, 101):
        generations.record_first_token(number / 100)
    events = CallerEvents(metrics=metrics)
    failure = Failure(status=400, code='a"b\\c\nd', message="", run_state=RunState.NOT_RUN)
    events.record_refusal("r", failure)
    events.record_service_call("r", 200)
    metrics.add_gauge("gypsumpost_peers_live", "Other hosts held for live.", lambda: 8)
    assert encode_metrics(metrics.list_all()).decode() == snapshot


def test_timer_separates_first_token_from_stalls() -> None:
    """Guards against counting a loss before the first token as a stall, and missing stalls."""
    metrics = Metrics()
    generations = GenerationMetrics(metrics=metrics)
    timer = StallTimer(metrics=generations, started_at=10.0, resumed=False)
    timer.record_loss(10.5)
    for now in (11.0, 11.1, 11.2):
        timer.record_arrival(now)
    timer.record_loss(11.2)
    timer.record_loss(12.0)
    timer.record_arrival(12.7)
    StallTimer(metrics=generations, started_at=20.0, resumed=True).record_arrival(20.25)
    lines = encode_metrics(metrics.list_all()).decode().splitlines()
    assert "gypsumpost_first_token_seconds_sum 1" in lines
    assert "gypsumpost_first_token_seconds_count 1" in lines
    assert "gypsumpost_resumption_stall_seconds_sum 1.75" in lines
    assert "gypsumpost_resumption_stall_seconds_count 2" in lines
