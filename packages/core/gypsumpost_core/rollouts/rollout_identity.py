"""Which orders and records belong to the same roll-out, over restores of the store.

The load pattern: the store comes back from an older copy. Orders are written again at other
revisions, and the copy holds an older record than the hosts know.
"""

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import read_token
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord


def read_era(token: int) -> StoreEra:
    """Return the era of a token.

    :param token: a fencing token, or the number of an order.
    """
    return read_token(token).era


def is_written_again(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Return true if an order is a known one, which the operator has written in a later era.

    :param order: the order.
    :param known: the known order of the same service.
    """
    is_equal = (order.target_version, order.seconds) == (known.target_version, known.seconds)
    return is_equal and read_era(order.revision) > read_era(known.revision)


def is_answered(record: RolloutRecord | None, order: RolloutOrder) -> bool:
    """Return true if a record answers an order or a later one.

    An order with the same content in a later era is the same order. A record of an older version
    of this software does not tell the time that its order gave.

    :param record: the record, ``None`` if the service never had a roll-out.
    :param order: the order.
    """
    if record is None:
        return False
    if record.order_revision >= order.revision:
        return True
    is_equal = record.target_version == order.target_version
    is_equal = is_equal and record.order_seconds in (0.0, order.seconds)
    return is_equal and read_era(record.order_revision) < read_era(order.revision)


def is_same_rollout(record: RolloutRecord, known: RolloutRecord) -> bool:
    """Return true if two records are states of the same roll-out.

    :param record: a record.
    :param known: another record of the same service.
    """
    if record.order_revision == known.order_revision:
        return True
    is_equal = (record.target_version, record.started_at_ms) == (
        known.target_version,
        known.started_at_ms,
    )
    return is_equal and read_era(record.order_revision) != read_era(known.order_revision)


def is_older(record: RolloutRecord, known: RolloutRecord) -> bool:
    """Return true if a record is an older state than the known one.

    After a restore a decider may have gone on from the copy's record, with a later token than that
    of a newer state. So over eras the time of the last step counts. An ended roll-out stays ended.

    :param record: a record.
    :param known: the known record of the same service.
    """
    is_restored = read_era(record.fencing_token) != read_era(known.fencing_token)
    if is_restored and is_same_rollout(record, known):
        return _rank_step(record) < _rank_step(known)
    return _rank_token(record) < _rank_token(known)


def _rank_step(record: RolloutRecord) -> tuple[bool, int, int, float]:
    return _is_ended(record), record.share_since_ms, record.fencing_token, record.order_seconds


def _rank_token(record: RolloutRecord) -> tuple[int, bool, int, int, float]:
    # A host of an older version repeats a record without the time that the order gave.
    return (
        record.order_revision,
        _is_ended(record),
        record.fencing_token,
        record.share_since_ms,
        record.order_seconds,
    )


def _is_ended(record: RolloutRecord) -> bool:
    return record.phase is not RolloutPhase.RUNNING
