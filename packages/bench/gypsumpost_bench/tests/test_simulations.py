"""Tests of the simulations that the experiments use."""

from gypsumpost_bench.admission_simulation import AdmissionSimulation, LoadPhase
from gypsumpost_bench.retry_simulation import RetrySimulation
from gypsumpost_bench.routing_simulation import RoutingSimulation
from gypsumpost_bench.suspicion_simulation import SuspicionSimulation


def test_lost_domain_loses_no_generation() -> None:
    """Guards against figures that leave out the generations of dead engines."""
    run = RoutingSimulation(
        policy="expected-time", load=0.5, duration=30.0, lost_at=15.0, warm_up=5.0
    )
    run.run()
    assert len(run.completion_times) == run.offered > 200


def test_goodput_stays_at_twice_the_capacity() -> None:
    """Guards against an overload in which most answers miss their deadline."""
    rates = []
    for load in (1.0, 2.0):
        run = AdmissionSimulation(phases=(LoadPhase(until=120.0, load=load),))
        run.run()
        rates.append(run.compute_goodput(40.0, 120.0))
    assert rates[1] > 0.9 * rates[0]


def test_attempts_stay_within_a_tenth_above_first_attempts() -> None:
    """Guards against retries that multiply the load of a lost domain."""
    run = RetrySimulation(budget_enabled=True, lost_at=60.0, duration=120.0)
    run.run()
    assert 1.0 < run.compute_attempt_ratio() <= 1.1


def test_crash_causing_requests_cost_three_engines_and_no_innocent() -> None:
    """Guards against more lost engines, and false quarantines, with several daemons."""
    run = SuspicionSimulation(
        suspicion_enabled=True, harmful=3, crash_interval=10.0, duration=150.0, seed=4
    )
    run.run()
    assert run.engines_lost
    assert max(run.engines_lost.values()) <= 3
    assert run.false_quarantines == 0
    assert run.completed == run.innocents
