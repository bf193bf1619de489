"""Tests of the times at which damaged items are read again."""

from gypsumpost_core.gateway.reread_schedule import LONGEST_PAUSE_SECONDS, RereadSchedule
from gypsumpost_core.gateway.store_position import StorePosition

FIRST = StorePosition(revision=5)


def list_reads(schedule, position, started_at, seconds):
    """Return the times of the reads if a host asks each tenth of a second."""
    times = [started_at + step / 10 for step in range(10 * seconds)]
    return [now for now in times if schedule.take_due(position, now)]


def test_the_pauses_between_the_reads_grow_up_to_a_bound():
    """Guards against a fleet that reads a large item without end as nobody can decode it."""
    reads = list_reads(RereadSchedule(), FIRST, 0, 60)
    assert reads[:3] == [0.5, 1.5, 3.5]
    pauses = [after - before for before, after in zip(reads, reads[1:], strict=False)]
    assert pauses == sorted(pauses)
    assert max(pauses) == LONGEST_PAUSE_SECONDS


def test_a_new_write_is_read_again_soon():
    """Guards against a sound version that waits for the pauses of a damaged one."""
    schedule = RereadSchedule()
    list_reads(schedule, FIRST, 0, 60)
    assert list_reads(schedule, StorePosition(revision=6), 60, 2)[0] == 60.5
