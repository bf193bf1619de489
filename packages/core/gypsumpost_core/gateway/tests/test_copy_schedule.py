"""Tests of the decision when a copy has to be made again."""

from gypsumpost_core.gateway.copy_schedule import RENEWAL_RATIO, RETRY_SECONDS, CopySchedule
from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record


def create_schedule(fleet):
    return CopySchedule(fleet=fleet, keep_seconds=4.0)


def test_a_copy_is_due_when_its_holder_is_lost_or_restarted():
    """Guards against a stream without a copy when domains fail one after the other."""
    fleet = create_fleet(create_record("e1"))
    copy = CopySource(holder=create_record("e1"), address="e1:1", handle="h")
    schedule = create_schedule(fleet)
    assert not schedule.is_due(copy, 100.0)
    fleet.mark_lost("e1", 1, now=100.0)
    assert schedule.is_due(copy, 100.0)
    fleet.put(create_record("e1", started_at=2))
    assert schedule.is_due(copy, 101.0)
    fleet.remove("e1")
    assert schedule.is_due(copy, 102.0)


def test_a_failed_move_is_not_repeated_at_once():
    """Guards against streams that all ask engines without room several times a second."""
    schedule = create_schedule(create_fleet())
    copy = CopySource(holder=create_record("e1"), address="e1:1", handle="h")
    schedule.record_failure(10.0)
    assert not schedule.is_due(copy, 10.0 + RETRY_SECONDS - 0.1)
    assert schedule.is_due(copy, 10.0 + RETRY_SECONDS)


def test_a_moved_copy_is_renewed_before_its_engine_drops_it():
    """Guards against resuming from a copy that its engine has already dropped."""
    copy = CopySource(holder=create_record("e1"), address="e2:1", handle="h")
    schedule = create_schedule(create_fleet(create_record("e1")))
    schedule.record_move(10.0)
    assert not schedule.is_due(copy, 10.0 + 4.0 * RENEWAL_RATIO - 0.1)
    assert schedule.is_due(copy, 10.0 + 4.0 * RENEWAL_RATIO)
