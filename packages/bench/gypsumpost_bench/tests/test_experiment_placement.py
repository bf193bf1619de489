"""Tests of a run of the placement experiment."""

from gypsumpost_bench.placement_run import PlacementRun


def test_faults_end_without_orders_and_without_lost_copies() -> None:
    """Guards against orders without end, and against a run that sends no orders at all."""
    run = PlacementRun(leased=True, seed=3, faults=20)
    run.run()
    assert run.fault_orders > 0
    assert run.steady_orders == 0
    assert run.simulation.last_copy_unloads == 0


def test_the_baseline_without_a_lease_loses_copies() -> None:
    """Guards against a count of lost copies that is always 0."""
    runs = [PlacementRun(leased=False, seed=seed, faults=20) for seed in range(5)]
    for run in runs:
        run.run()
    assert sum(run.simulation.last_copy_unloads for run in runs) > 0
