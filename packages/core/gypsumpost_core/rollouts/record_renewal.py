"""Writes records again that a store which has come back from a copy may lack."""

import attrs

from gypsumpost_core.rollouts.rollout_identity import read_era
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_step import RolloutStep


def is_to_be_renewed(record: RolloutRecord, order: RolloutOrder | None, fencing_token: int) -> bool:
    """Return true if a record was not written since the store came back from a copy.

    :param record: the record.
    :param order: the order that it answers, ``None`` if there is none.
    :param fencing_token: token of the decider's lease.
    """
    if read_era(record.fencing_token) < read_era(fencing_token):
        return True
    return order is not None and order.is_valid and record.order_revision < order.revision


def renew_record(
    record: RolloutRecord, order: RolloutOrder | None, fencing_token: int
) -> RolloutStep:
    """Return the step that writes a record again, with the number that its order now has.

    :param record: the newest known record.
    :param order: the order that it answers, ``None`` if there is none.
    :param fencing_token: token of the decider's lease.
    """
    revision = order.revision if order is not None and order.is_valid else 0
    renewed = attrs.evolve(
        record,
        order_revision=max(record.order_revision, revision),
        fencing_token=fencing_token,
    )
    return RolloutStep(record=renewed, reason="the store has come back from a copy")
