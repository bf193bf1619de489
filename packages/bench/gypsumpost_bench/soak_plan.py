"""Plan of a soak run."""

import random

import attrs

from gypsumpost_bench.deployment_plan import DeploymentPlan
from gypsumpost_bench.fault_kind import FaultKind
from gypsumpost_bench.fault_plan import PlannedFault, plan_faults


@attrs.frozen(kw_only=True)
class SoakPlan:
    """A deployment, its load and its faults.

    :param seed: seed of all random choices.
    :param seconds: duration of the load.
    :param deployment: the processes to start.
    :param faults: the faults in order of time.
    :param request_interval: mean seconds between requests of callers.
    :param charge_interval: mean seconds between charges.
    :param edit_interval: mean seconds between edits.
    :param max_tokens: upper bound of the length of an answer, in tokens.
    """

    seed: int
    seconds: float
    deployment: DeploymentPlan
    faults: list[PlannedFault]
    request_interval: float = 0.15
    charge_interval: float = 0.15
    edit_interval: float = 1.0
    max_tokens: int = 100


def create_soak_plan(seed: int, seconds: float, crash_requests: bool = True) -> SoakPlan:
    """Create a random plan from a seed.

    :param seed: the seed.
    :param seconds: duration of the load.
    :param crash_requests: false for a plan without requests that crash engines.
    """
    rng = random.Random(seed)
    gaps = [0.02, 0.03, 0.042, 0.042, 0.06, 0.08]
    rng.shuffle(gaps)
    deployment = DeploymentPlan(
        hosts_per_domain=rng.choice((2, 3)),
        token_gaps=tuple(gaps),
        daemon_flags=("--stop-deadline", "50"),
    )
    targets = list_targets(deployment)
    kinds = list_kinds()
    if not crash_requests:
        kinds.remove(FaultKind.CRASH_REQUEST)
    faults = plan_faults(rng, seconds, targets, kinds, interval=1.0)
    return SoakPlan(seed=seed, seconds=seconds, deployment=deployment, faults=faults)


def list_targets(plan: DeploymentPlan) -> dict[str, list[str]]:
    """Return the names of the possible fault targets of each component.

    :param plan: the deployment.
    """
    return {
        "engine": [f"engine-{n + 1}" for n in range(len(plan.token_gaps))],
        "service": [f"gate-{n + 1}" for n in range(len(plan.domains) * plan.services)],
        "daemon": [
            f"{domain}-host{n + 1}" for domain in plan.domains for n in range(plan.hosts_per_domain)
        ],
        "store": list(plan.domains),
        "request": ["all engines"],
    }


def list_kinds() -> list[FaultKind]:
    """Return the kinds of fault that a plan can contain; engine crashes follow from requests."""
    return [kind for kind in FaultKind if kind is not FaultKind.ENGINE_CRASH]
