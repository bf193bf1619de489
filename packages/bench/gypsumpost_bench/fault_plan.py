"""The seeded plan of faults of a soak run."""

import random
from collections.abc import Mapping, Sequence

import attrs

from gypsumpost_bench.fault_kind import FaultKind

MAX_TARGETS = {"engine": 3, "daemon": 2, "service": 2, "store": 2, "request": 1}
"""Most targets of a part that are in a fault at one moment, so that something always serves."""

RESTART_SECONDS = 4.0
"""Added to a fault's length for the start of the process."""


@attrs.frozen(kw_only=True)
class PlannedFault:
    """One fault.

    :param at: seconds after the start of the run.
    :param kind: what is done.
    :param target: name of the process or domain.
    :param seconds: how long until the target is restored.
    """

    at: float
    kind: FaultKind
    target: str
    seconds: float

    def overlaps(self, other: "PlannedFault") -> bool:
        """Return whether two faults are in force at one moment.

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
    """Return faults in the order of their times.

    :param rng: the source of all choices.
    :param length: seconds in which faults begin.
    :param targets: names for each part.
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
            target=rng.choice(list(targets[kind.part])),
            seconds=round(rng.choice((0.5, 1.5, 3.0, 5.0)), 2),
        )
        if _fits(plan, fault):
            plan.append(fault)
        # A fifth of the faults come at the same moment as the one before.
        at += 0.0 if rng.random() < 0.2 else rng.expovariate(1 / interval)
    return plan


def _fits(plan: list[PlannedFault], fault: PlannedFault) -> bool:
    together = [
        other for other in plan if other.kind.part == fault.kind.part and other.overlaps(fault)
    ]
    names = {other.target for other in together}
    return fault.target not in names and len(names) < MAX_TARGETS[fault.kind.part]
