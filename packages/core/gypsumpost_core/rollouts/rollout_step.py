"""Decision on the next step of a roll-out."""

import attrs

from gypsumpost_core.rollouts.rollout_record import RolloutRecord


@attrs.frozen(kw_only=True)
class RolloutStep:
    """Decision on the next step of a roll-out.

    :param record: the record to write, ``None`` if there is nothing to write now.
    :param reason: why, for the log.
    """

    record: RolloutRecord | None
    reason: str
