"""Tests of the program that runs the experiments, and of its report."""

import orjson
import pytest

from gypsumpost_bench import measure
from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_path import create_rows
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.experiment_run import ExperimentRun
from gypsumpost_bench.line_fit import create_slope_row
from gypsumpost_bench.measure_report import create_report
from gypsumpost_bench.path_run import PathFigures
from gypsumpost_bench.resume_figures import ResumeFigures, join_figures
from gypsumpost_bench.token_counter import TokenCounter, read_count
from gypsumpost_bench.token_path_run import TokenPathFigures

ROW = ExperimentRow(name="<stall>", unit="s", figure=4.0, target="< 3 s", baseline=2.0, met=False)


def test_quick_run_names_known_experiments():
    """Guards against a subset that names an experiment which was renamed."""
    chosen = {*measure.QUICK_NAMES, *measure.SIMULATED_NAMES, *measure.SHORT_NAMES}
    assert chosen <= set(EXPERIMENTS.names())


def test_failing_experiment_does_not_stop_the_others(monkeypatch, tmp_path, capsys):
    """Guards against a missing report, and against exit status 0, when one experiment fails."""

    def run(name, *, quick):
        if name == "calls":
            raise ZeroDivisionError("no calls")
        return [ROW]

    monkeypatch.setattr(EXPERIMENTS, "create", run)
    monkeypatch.setattr(measure, "BUILD", tmp_path)
    assert measure.main(["--only", "calls", "path"]) == 1
    runs = orjson.loads((tmp_path / "measure.json").read_bytes())["experiments"]
    assert [(each["name"], each["error"], len(each["rows"])) for each in runs] == [
        ("calls", "ZeroDivisionError: no calls", 0),
        ("path", "", 1),
    ]
    printed = capsys.readouterr().out
    assert "routing" in printed.splitlines()[0]
    assert "MISSED" in printed


def test_report_escapes_names_and_shows_missed_targets():
    """Guards against invalid HTML and against a missed target that is shown as met."""
    page = create_report([ExperimentRun(name="resume", rows=[ROW], seconds=1.0)], {"quick": True})
    assert "<stall>" not in page
    assert "&lt;stall&gt;" in page
    assert 'class="missed">MISSED' in page


def test_figures_of_rounds_are_joined():
    """Guards against quantiles and counts of redone tokens from one round only."""
    rounds = [
        ResumeFigures(stalls=stalls, answers=2, errors=(), produced=110, delivered=100, tokens=50)
        for stalls in ((0.1, 0.2), (0.9,))
    ]
    joined = join_figures(rounds)
    assert (joined.redone, joined.answers) == (20, 4)
    assert (joined.compute_stall_quantile(0.5), joined.compute_stall_quantile(1.0)) == (0.2, 0.9)


def test_slope_needs_four_points_and_names_them():
    """Guards against a capacity figure from a line through two points."""
    points = [(1, 12.0), (2, 14.0), (3, 16.0), (4, 18.0)]
    row = create_slope_row("state", "bytes", points)
    assert row.figure == 2.0
    assert "(4, 18); 10 at 0; valid from 1 to 4" in row.note
    with pytest.raises(ValueError, match="3 points"):
        create_slope_row("state", "bytes", points[:3])


def test_count_of_a_dead_engine_is_read_from_its_file(tmp_path):
    """Guards against a count of redone tokens without those that a killed engine produced."""
    path = tmp_path / "engine.count"
    counter = TokenCounter(path=str(path))
    for _ in range(300):
        counter.add()
    assert read_count(path) == 300


def test_rate_that_is_not_sustained_misses_its_targets():
    """Guards against a saturated daemon whose gaps look good because tokens are missing."""
    path = TokenPathFigures(
        microseconds=1.0,
        rate=5000.0,
        gap_p95=43.0,
        first_p95=1.0,
        burst_first_p95=1.0,
        burst_gap_p95=43.0,
        incomplete=0,
    )
    figures = PathFigures(path=path, home_load=1.0, holder_load=0.1, holder_microseconds=1.0)
    for rate, met in ((5000, True), (6400, False)):
        rows = create_rows(rate, figures, figures, path)
        assert {row.met for row in rows if row.target} == {met}
