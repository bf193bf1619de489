"""A short soak run, without the check that depends on timing."""

from pathlib import Path

from gypsumpost_bench.deployment_plan import DeploymentPlan
from gypsumpost_bench.fault_kind import FaultKind
from gypsumpost_bench.fault_plan import PlannedFault
from gypsumpost_bench.soak_plan import SoakPlan
from gypsumpost_bench.soak_run import SoakRun

FAULTS = [
    PlannedFault(at=0.8, kind=FaultKind.ENGINE_KILL, target="engine-1", seconds=1.0),
    PlannedFault(at=1.5, kind=FaultKind.STORE_DOWN, target="d1", seconds=0.5),
    PlannedFault(at=2.2, kind=FaultKind.DAEMON_KILL, target="d2-host1", seconds=0.5),
    PlannedFault(at=2.6, kind=FaultKind.DAEMON_SIGNALS, target="d3-host1", seconds=0.5),
    PlannedFault(at=3.2, kind=FaultKind.STORE_LOSE_ANSWERS, target="d1", seconds=0.6),
]


async def test_answers_and_charges_survive_kills_and_store_faults(tmp_path: Path) -> None:
    """Guards against mixed or truncated answers and repeated charges, with duplicate requests."""
    plan = SoakPlan(
        seed=7,
        seconds=4.0,
        deployment=DeploymentPlan(token_gaps=(0.02, 0.03, 0.04), daemon_flags=()),
        faults=FAULTS,
        max_tokens=40,
    )
    run = SoakRun(plan=plan)
    await run.run(tmp_path)
    run.verdicts.pop("no stall")
    assert {name: findings for name, findings in run.verdicts.items() if findings} == {}
    errors = [event.answer.error for event in run.history.answers]
    assert None in errors, errors
    assert any(len(charge.replies) > 1 for charge in run.history.charges)
    assert {fault.kind for fault in run.history.faults} >= {fault.kind for fault in FAULTS}
