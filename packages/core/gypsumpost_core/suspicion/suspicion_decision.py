"""Decision on how a request may run, depending on the deaths counted against it."""

import enum

import attrs

from gypsumpost_core.failure import Failure


class SuspicionVerdict(enum.Enum):
    """Ways in which a request may run, or not."""

    RUN_SHARED = "run-shared"
    RUN_ISOLATED = "run-isolated"
    WAIT = "wait"
    QUARANTINED = "quarantined"


@attrs.frozen(kw_only=True)
class SuspicionDecision:
    """The decision about one attempt.

    :param verdict: how the request may run.
    :param excluded: engines that this attempt must not use; passed on in the route request.
    :param engine: the engine that an isolated attempt must use, or on which another attempt of
        the same request already runs; empty if routing chooses.
    :param check_at: monotonic time in seconds at which a waiting request must be decided again.
    :param failure: the failure of a quarantined request.
    """

    verdict: SuspicionVerdict
    excluded: frozenset[str] = frozenset()
    engine: str = ""
    check_at: float | None = None
    failure: Failure | None = None
