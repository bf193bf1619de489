"""A fault that was injected."""

import attrs

from gypsumpost_bench.fault_kind import FaultKind


@attrs.frozen(kw_only=True)
class FaultEvent:
    """A fault and its duration.

    :param kind: kind of fault.
    :param target: name of the process or domain.
    :param started_at: time of the fault.
    :param ended_at: time at which the target served again.
    """

    kind: FaultKind
    target: str
    started_at: float
    ended_at: float
