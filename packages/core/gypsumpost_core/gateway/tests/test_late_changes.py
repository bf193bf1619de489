"""Tests of when a host asks the store for changes that peers do not send."""

import random

from gypsumpost_core.gateway.late_changes import (
    ASK_SECONDS,
    BELIEF_SECONDS,
    REPEAT_SECONDS,
    SPREAD_SECONDS,
    LateChanges,
)

PREFIX = "op/"
APPLY_SECONDS = 2.0
FETCH_SECONDS = 1.1
"""Time after which hosts have a change from the second peer that they ask."""

LARGE_DOMAIN = 65


def find_question(late: LateChanges, hosts: int, until: float) -> float | None:
    """Return when a change that is named all the time is asked for, ``None`` if it is not."""
    for step in range(int(until * 100)):
        now = step / 100
        late.record_named([PREFIX], hosts, now)
        if late.take_due([PREFIX], hosts, now):
            return now
    return None


def test_a_change_that_no_peer_sends_is_asked_for_in_time():
    """Guards against a host that waits for peers until a change is overdue."""
    for seed in range(20):
        asked_at = find_question(LateChanges(rng=random.Random(seed)), 9, APPLY_SECONDS)
        assert asked_at is not None and asked_at <= ASK_SECONDS + SPREAD_SECONDS + 0.01


def test_few_hosts_of_a_large_domain_ask_while_one_peer_is_suspended():
    """Guards against a domain that reads all of a large configuration in one instant."""
    hosts = [LateChanges(rng=random.Random(seed)) for seed in range(LARGE_DOMAIN)]
    asked = [find_question(late, LARGE_DOMAIN, FETCH_SECONDS) for late in hosts]
    assert sum(at is not None for at in asked) <= LARGE_DOMAIN / 4


def test_a_change_that_has_arrived_is_not_asked_for():
    """Guards against a call for a change that a peer has sent meanwhile."""
    late = LateChanges()
    late.record_named([PREFIX], 9, 0.0)
    assert late.take_due([], 9, 1.5) == []
    late.record_named([PREFIX], 9, 1.5)
    assert late.take_due([PREFIX], 9, 1.5 + ASK_SECONDS - 0.01) == []


def test_a_change_that_nobody_names_any_more_is_not_asked_for():
    """Guards against calls without end for a change that does not exist."""
    late = LateChanges()
    late.record_named([PREFIX], 9, 0.0)
    assert late.take_due([PREFIX], 9, BELIEF_SECONDS) == []


def test_a_store_that_does_not_answer_is_asked_again_after_a_pause():
    """Guards against hosts that ask a store that is away again and again."""
    late = LateChanges()
    late.record_named([PREFIX], 9, 0.0)
    assert late.take_due([PREFIX], 9, 1.5) == [PREFIX]
    late.record_named([PREFIX], 9, 1.5)
    assert late.take_due([PREFIX], 9, 1.5 + REPEAT_SECONDS - 0.01) == []
