"""Seeded random plan of the faults of a soak run."""

import random
from collections.abc import Mapping, Sequence

import attrs

from gypsumpost_bench.fault_kind import FaultKind

MAX_TARGETS = {"engine": 3, "daemon": 2, "service": 2, "store": 2, "request": 1}
"""Maximum number of targets of a component that are faulty at the same time, so that others always
serve."""

RESTART_SECONDS = 4.0
"""Added to the duration of a fault for the start of the process."""


@attrs.frozen(kw_only=True)
class PlannedFault:
    """One fault.

    :param at: seconds after the start of the run.
    :param kind: kind of fault.
    :param target: name of the process or domain.
    :param seconds: duration until the target is restored.
    """

    at: float
    kind: FaultKind
    target: str
    seconds: float

    def overlaps(self, other: "PlannedFault") -> bool:
        """Return whether two faults overlap in time, including the restart of the process.

        :param other: another fault.
        """
        return (
            self.at < other.at + other.seconds + RESTART_SECONDS
            and other.at < self.at + self.seconds + RESTART_SECONDS
        )


def plan_faults(
    rng: random.Random,
    length: float,
    targets: Mapping[str, Sequence[str]],
    kinds: Sequence[FaultKind],
    interval: float,
) -> list[PlannedFault]:
    """Return random faults in order of time.

    :param rng: random number generator.
    :param length: length in seconds of the period in which faults begin.
    :param targets: names of the possible targets of each component.
    :param kinds: kinds to choose from.
    :param interval: mean seconds between faults.
    """
    plan: list[PlannedFault] = []
    at = rng.uniform(0.5, 1.0)
    while at < length:
        kind = rng.choice(list(kinds))
        fault = PlannedFault(
            at=at,
            kind=kind,
            target=rng.choice(list(targets[kind.component])),
            seconds=round(rng.choice((0.5, 1.5, 3.0, 5.0)), 2),
        )
        if _is_allowed(plan, fault):
            plan.append(fault)
        # A fifth of the faults begin at the same time as the previous one.
        at += 0.0 if rng.random() < 0.2 else rng.expovariate(1 / interval)
    return plan


def _is_allowed(plan: list[PlannedFault], fault: PlannedFault) -> bool:
    overlapping = [
        other
        for other in plan
        if other.kind.component == fault.kind.component and other.overlaps(fault)
    ]
    names = {other.target for other in overlapping}
    return fault.target not in names and len(names) < MAX_TARGETS[fault.kind.component]
