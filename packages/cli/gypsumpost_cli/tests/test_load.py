"""Tests of the load's schedule, results and command."""

from typing import Any

import pytest
from result import Err

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_client import record_refusal
from gypsumpost_cli.connection import ConnectionEnd
from gypsumpost_cli.event_reader import EventReader
from gypsumpost_cli.load_plan import LoadPlan
from gypsumpost_cli.load_report import describe_results, format_results
from gypsumpost_cli.load_results import LoadResults
from gypsumpost_cli.load_schedule import schedule_load
from gypsumpost_cli.load_workspace import LoadWorkspace, parse_load_workspaces
from gypsumpost_cli.main import run_command

WORKSPACES = (
    LoadWorkspace(name="north", key="n", weight=3),
    LoadWorkspace(name="south", key="s", weight=1),
)
PLAN = LoadPlan(rate=50, seconds=40, workspaces=WORKSPACES, seed=7, gate_rate=10, long_share=0.1)


def test_schedule_follows_seed_rate_and_mix() -> None:
    """Guards against runs that cannot be repeated and a mix other than the requested one."""
    arrivals = list(schedule_load(PLAN))
    assert arrivals == list(schedule_load(PLAN))
    times = [arrival.at for arrival in arrivals]
    assert times == sorted(times)
    assert times[-1] < PLAN.seconds
    generations = [arrival for arrival in arrivals if not arrival.is_gate_call]
    assert abs(len(generations) - 2000) < 150
    assert abs(len(arrivals) - len(generations) - 400) < 70
    assert abs(sum(a.workspace == 0 for a in generations) / len(generations) - 0.75) < 0.05
    assert abs(sum(a.max_tokens == 600 for a in generations) / len(generations) - 0.1) < 0.03
    assert len({a.prompt[:100] for a in generations}) == PLAN.prefixes


def test_results_distinguish_wrong_refused_and_failed() -> None:
    """Guards against counting a wrong answer as whole or as a refusal."""
    results = LoadResults(sent=4, gate_sent=2)
    common: Any = {"request_id": "r", "sent_at": 1.0}
    wrong = Answer(**common, token_ids=[1, 2], finish_reason="length", arrivals=[1.5, 1.6])
    refused = Answer(**common, error="503: no", error_code="no_engine", run_state="not_run")
    lost = Answer(**common, error="no entry host completed the answer", token_ids=[5])
    for answer in (wrong, refused, lost):
        results.record_answer("north", answer, 3, 2.0)
    results.record_gate_call("", 0.25)
    assert (results.whole, results.wrong, results.failed, results.refused) == (0, 1, 1, 1)
    assert results.open == 2
    report = describe_results(results, 10.0)
    assert report["generations"]["refusals"] == {"no_engine (not_run)": 1}
    assert report["generations"]["failures"] == {"connection_lost (unknown)": 1}
    assert report["gate_seconds"]["max"] == pytest.approx(0.25, rel=0.001)
    assert "wrong: r: the answer has 2 of 3 tokens" in format_results(report)


def test_wrong_flags_are_named_without_keys(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a load that never ends and against keys in error messages."""
    assert isinstance(parse_load_workspaces("north=secret:0"), Err)
    assert run_command(["load", "--addresses", "a", "--workspaces", "north=secret:x"]) == 1
    shown = capsys.readouterr().err
    assert "--workspaces" in shown
    assert "secret:x" not in shown
    flags = ["--addresses", "a", "--workspaces", "n=k:1", "--seconds", "inf"]
    assert run_command(["load", *flags]) == 1
    assert "--seconds" in capsys.readouterr().err


@pytest.mark.parametrize("flag", ["--rate", "--gate-rate"])
@pytest.mark.parametrize("rate", ["inf", "nan"])
def test_a_rate_without_end_is_refused(
    capsys: pytest.CaptureFixture[str], flag: str, rate: str
) -> None:
    """Guards against a schedule that never reaches its end."""
    flags = ["--addresses", "a", "--workspaces", "north=secret:1", flag, rate, "--seconds", "0.01"]
    assert run_command(["load", *flags]) == 1
    assert f"{flag}: must be 0 or more and finite" in capsys.readouterr().err


def test_the_data_lines_of_an_event_are_joined() -> None:
    """Guards against losing all but the last line of an event that is split over lines."""
    reader = EventReader()
    (event,) = reader.feed(b'id: 3\ndata: {"choices":\ndata:[1]}\n\n')
    assert (event.event_id, event.data) == ("3", {"choices": [1]})


@pytest.mark.parametrize("body", [b"", b"<html>", b"[]", b'{"error": "no"}'])
def test_a_refusal_that_is_no_json_is_recorded(body: bytes) -> None:
    """Guards against a run that ends because a balancer answers 503 with a page of its own."""
    answer = Answer(request_id="r", sent_at=1.0)
    assert record_refusal(answer, 503, body) is ConnectionEnd.REFUSED
    assert (answer.error_status, answer.run_state) == (503, "unknown")
    assert record_refusal(answer, 404, body) is ConnectionEnd.DONE
