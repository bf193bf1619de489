"""Tests of roll-outs over a store that comes back from an older copy."""

import random

import attrs

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.rollouts.rollout_decider import decide_step
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_step import RolloutStep
from gypsumpost_core.rollouts.tests.test_rollout_decider import (
    FLEET,
    NOW_MS,
    SETTINGS,
    build_evidence,
)
from gypsumpost_core.rollouts.version_choice import VersionChoice


def number(era: int, revision: int) -> int:
    return StorePosition(era=StoreEra(era), revision=revision).to_token()


ORDER = RolloutOrder(service="s", target_version="2", seconds=60.0, revision=number(1, 50))
RUNNING = RolloutRecord(
    service="s",
    target_version="2",
    order_revision=ORDER.revision,
    phase=RolloutPhase.RUNNING,
    share=0.05,
    spare=20,
    started_at_ms=NOW_MS,
    share_since_ms=NOW_MS + 1000,
    deadline_ms=NOW_MS + 59_000,
    fencing_token=number(1, 60),
    reason="first requests",
    order_seconds=60.0,
)
COMPLETED = attrs.evolve(
    RUNNING, phase=RolloutPhase.COMPLETED, share=1.0, share_since_ms=NOW_MS + 30_000
)


def decide(record: RolloutRecord, order: RolloutOrder, token: int) -> RolloutStep:
    return decide_step(
        record=record,
        order=order,
        evidence=build_evidence(0),
        fleet=FLEET,
        settings=SETTINGS,
        fencing_token=token,
        now_ms=NOW_MS + 2000,
    )


def test_the_same_order_in_a_new_era_is_not_started_twice() -> None:
    """Guards against a completed roll-out that begins anew when the operator writes again."""
    again = attrs.evolve(ORDER, revision=number(2, 45))
    for record in (RUNNING, COMPLETED, attrs.evolve(RUNNING, phase=RolloutPhase.ROLLED_BACK)):
        renewed = decide(record, again, number(2, 48)).record
        assert renewed == attrs.evolve(
            record, order_revision=again.revision, fencing_token=number(2, 48)
        )


def test_an_equal_order_after_the_renewed_one_starts_a_rollout() -> None:
    """Guards against a second attempt that is taken for an order written again."""
    renewed = attrs.evolve(COMPLETED, order_revision=number(2, 45), fencing_token=number(2, 48))
    second = attrs.evolve(ORDER, revision=number(2, 70))
    started = decide(renewed, second, number(2, 75)).record
    assert started is not None and started.order_revision == second.revision


def test_another_order_in_a_new_era_starts_a_rollout() -> None:
    """Guards against an order that is ignored since its revision is lower than a former one."""
    for changes in ({"target_version": "3"}, {"seconds": 30.0}):
        other = attrs.evolve(ORDER, revision=number(2, 45), **changes)
        started = decide(COMPLETED, other, number(2, 48)).record
        assert started is not None and started.order_revision == other.revision


def test_a_record_is_written_once_in_a_new_era() -> None:
    """Guards against a record and a status that stay those of the copy, or cost endless writes."""
    renewed = decide(COMPLETED, ORDER, number(2, 48)).record
    assert renewed == attrs.evolve(COMPLETED, fencing_token=number(2, 48))
    assert renewed is not None and decide(renewed, ORDER, number(2, 48)).record is None


def test_hosts_keep_a_newer_record_than_that_of_a_copy() -> None:
    """Guards against a step back when a decider goes on from the record in the copy."""
    later = attrs.evolve(RUNNING, share=0.25, share_since_ms=NOW_MS + 20_000)
    of_copy = attrs.evolve(RUNNING, fencing_token=number(2, 48))
    for known in (later, COMPLETED):
        choice = VersionChoice(settings=SETTINGS, rng=random.Random(1))
        choice.put_record(known, 0.0)
        choice.put_record(of_copy, 1.0)
        assert choice.get_record("s") == known
    reopened = attrs.evolve(of_copy, share_since_ms=NOW_MS + 40_000)
    choice = VersionChoice(settings=SETTINGS, rng=random.Random(1))
    choice.put_record(COMPLETED, 0.0)
    choice.put_record(reopened, 1.0)
    assert choice.get_record("s") == COMPLETED


def test_an_ended_rollout_that_is_written_again_stays_ended() -> None:
    """Guards against hosts that change between two records of one decider with each message.

    The decider took a step from the copy's record before it heard that the roll-out had ended.
    """
    step = attrs.evolve(RUNNING, fencing_token=number(2, 48), share_since_ms=NOW_MS + 40_000)
    renewed = decide(COMPLETED, ORDER, number(2, 48)).record
    assert renewed is not None
    choice = VersionChoice(settings=SETTINGS, rng=random.Random(1))
    for record in (step, renewed, step, COMPLETED, step):
        choice.put_record(record, 0.0)
    assert choice.get_record("s") == renewed


def test_a_renewed_record_keeps_what_was_granted() -> None:
    """Guards against spare requests that are lost, or granted once more, after each restore."""
    choice = VersionChoice(settings=SETTINGS, rng=random.Random(1))
    choice.put_order(ORDER)
    choice.put_record(attrs.evolve(RUNNING, spare=0), 0.0)
    choice.put_record(RUNNING, 0.0)
    choice.confirm(0.0)
    exposed = 0
    for era in range(2, 12):
        again = attrs.evolve(ORDER, revision=number(era, 45))
        choice.put_order(again)
        renewed = decide(choice.get_record("s") or RUNNING, again, number(era, 48)).record
        assert renewed is not None
        choice.put_record(renewed, 0.0)
        assert choice.get_record("s") == renewed
        for _ in range(10):
            if choice.choose("s", frozenset({"1", "2"}), 0.0, is_first=False).exposes:
                choice.record_exposure("s")
                exposed += 1
    assert exposed == RUNNING.spare


def test_a_record_of_a_host_that_knows_no_eras_does_not_replace_the_same_one() -> None:
    """Guards against hosts of two versions that change their record with each message."""
    choice = VersionChoice(settings=SETTINGS, rng=random.Random(1))
    choice.put_record(RUNNING, 0.0)
    choice.put_record(attrs.evolve(RUNNING, order_seconds=0.0), 0.0)
    assert choice.get_record("s") == RUNNING
