"""What a host knows of the roll-out of one service."""

import attrs

from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_record import RolloutRecord


@attrs.define(kw_only=True)
class ServiceRollout:
    """What a host knows of the roll-out of one service.

    :param order: the last valid order.
    :param record: the last known record.
    :param known_since: monotonic time in seconds at which the record's phase became known.
    :param credit: requests that this host may send to the target version before the verdict.
    :param spare: spare requests of the record whose part is in the credit.
    :param braked: true while this host's own evidence is against the target version.
    :param established: versions that served before an order named them.
    """

    order: RolloutOrder | None = None
    record: RolloutRecord | None = None
    known_since: float = 0.0
    credit: float = 0.0
    spare: int = 0
    braked: bool = False
    established: frozenset[str] = frozenset()
