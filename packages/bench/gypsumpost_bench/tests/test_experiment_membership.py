"""Tests of the membership experiment."""

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.membership_run import MembershipRun


def test_experiment_is_registered() -> None:
    """Guards against an experiment that ``measure`` does not find."""
    import gypsumpost_bench.experiment_membership  # noqa: F401

    assert "membership" in EXPERIMENTS.names()


def test_figures_of_a_small_deployment() -> None:
    """Guards against figures of members that were not observed."""
    figures = MembershipRun(members=9, losses=1, seed=4).measure()
    assert (figures.missed, figures.lossy_missed) == (0, 0)
    assert (len(figures.detection), len(figures.lossy_detection)) == (8, 8)
    assert max(figures.detection) <= 3.0
    assert figures.false_deaths == 0
    assert 0 < figures.bytes_per_second < figures.highest_bytes_per_second < 3000
