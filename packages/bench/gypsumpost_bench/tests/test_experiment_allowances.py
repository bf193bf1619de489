"""Tests of the experiment on allowances."""

import pytest

from gypsumpost_bench.experiment_allowances import compute_errors, measure_error, run_simulated
from gypsumpost_bench.line_fit import fit_line
from gypsumpost_bench.share_fleet import SERVICE


def test_errors_count_both_sides() -> None:
    """Guards against an experiment that does not detect too few or too many admissions."""
    offered = [n / 10 for n in range(300)]
    bounds = {"limit": 5.0, "scale": 1.0, "start": 0.0, "end": 30.0}
    assert compute_errors(offered, offered[::2], **bounds) == (0, 0)
    assert compute_errors(offered, offered, **bounds) == (0, pytest.approx(1))
    assert compute_errors(offered, offered[::4], **bounds)[0] == pytest.approx(0.5)


def test_coordinated_shares_are_closer_than_equal_ones() -> None:
    """Guards against shares that do not follow the demand."""
    chosen = run_simulated(measure_error, "coordinated", SERVICE, 1.5, 12.0)
    baseline = run_simulated(measure_error, "equal", SERVICE, 1.5, 12.0)
    assert max(chosen) < max(baseline) / 2


def test_fit_finds_the_line() -> None:
    """Guards against slopes with a wrong sign or scale."""
    fit = fit_line([(1, 5), (2, 7), (4, 11)], min_points=2)
    assert (fit.slope, fit.intercept) == (pytest.approx(2), pytest.approx(3))
