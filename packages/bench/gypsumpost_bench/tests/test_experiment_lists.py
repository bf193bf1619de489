"""Tests of the experiment on list changes."""

from gypsumpost_bench.experiment_lists import run


def test_changes_spread_without_reverts_and_with_few_watches() -> None:
    """Guards against an experiment that measures nothing, and against slow propagation."""
    rows = {row.name: row for row in run(quick=True)}
    assert all(row.met is not False for row in rows.values())
    watches = rows["lists: store watches, 27 daemons, 0% loss"]
    assert (watches.figure, watches.baseline) == (6, 27)
    assert 0 < rows["lists: spread time p50, 9 daemons, 0% loss"].figure < 0.1
