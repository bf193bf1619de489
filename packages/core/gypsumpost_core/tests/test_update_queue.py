"""Tests of the queue of piggybacked updates."""

from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_simulation import create_hosts
from gypsumpost_core.membership.update_queue import MAX_QUEUED, UpdateQueue

UPDATES = [
    MemberUpdate(host=host, incarnation=1, state=MemberState.ALIVE)
    for host in create_hosts(1, MAX_QUEUED + 10)
]


def test_each_update_is_sent_a_bounded_number_of_times() -> None:
    """Guards against updates that circulate forever or are starved by others."""
    queue = UpdateQueue()
    for update in UPDATES[:10]:
        queue.add(update)
    space = 3 * max(update.estimate_bytes() for update in UPDATES[:10])
    sent = []
    while selected := queue.select(space, limit=4):
        assert sum(update.estimate_bytes() for update in selected) <= space
        sent += selected
    assert sorted(map(UPDATES.index, sent)) == sorted(list(range(10)) * 4)


def test_queue_keeps_the_newest_updates() -> None:
    """Guards against a queue that grows with the number of hosts."""
    queue = UpdateQueue()
    for update in UPDATES:
        queue.add(update)
    assert queue.select(10**9, limit=1) == UPDATES[10:]
