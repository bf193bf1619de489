"""Tests of the memory account, without sockets."""

import pytest

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_account import SMALL_BYTES, STALL_SECONDS, MemoryAccount

MEGABYTE = 1 << 20
BOUND = 16 * MEGABYTE


def ignore_end():
    pass


def open_holder(account, kind, size, now=0.0):
    holder = account.open(kind, now, ignore_end)
    return holder, account.resize(holder, size, now)


def fill(account, size, now=0.0):
    """Open incomplete bodies until the account has no room for another one."""
    holders = []
    while account.total + size <= account.bound * 7 // 8:
        holders.append(open_holder(account, HeldKind.INCOMPLETE_BODY, size, now)[0])
    return holders


def test_a_new_body_gets_the_room_of_a_stalled_one():
    """Guards against ordinary bodies that are refused because a crowd has filled the memory."""
    account = MemoryAccount(bound=BOUND)
    stalled = fill(account, MEGABYTE)
    holder, decision = open_holder(account, HeldKind.INCOMPLETE_BODY, MEGABYTE, now=5.0)
    assert decision.allowed and not holder.released
    assert decision.released and set(decision.released) <= set(stalled)
    assert {released.size for released in decision.released} == {MEGABYTE}
    assert account.total <= BOUND


def test_a_large_stalled_body_goes_before_a_slow_one():
    """Guards against letting go of an honest slow caller for the sake of a crowd."""
    account = MemoryAccount(bound=BOUND)
    slow, _ = open_holder(account, HeldKind.INCOMPLETE_BODY, 2 * SMALL_BYTES)
    fill(account, MEGABYTE)
    account.resize(slow, 2 * SMALL_BYTES + 10_000, 5.0)
    _, decision = open_holder(account, HeldKind.INCOMPLETE_BODY, MEGABYTE, now=5.5)
    assert decision.allowed and not slow.released


def test_a_trickle_is_no_progress():
    """Guards against large bodies that are kept by single bytes."""
    account = MemoryAccount(bound=BOUND)
    trickling, _ = open_holder(account, HeldKind.INCOMPLETE_BODY, 4 * MEGABYTE)
    for step in range(50):
        account.resize(trickling, 4 * MEGABYTE + step, step / 10)
    active = fill(account, MEGABYTE, now=5.0)
    _, decision = open_holder(account, HeldKind.INCOMPLETE_BODY, MEGABYTE, now=5.0)
    assert trickling in decision.released
    assert not any(holder.released for holder in active)


def test_complete_bodies_and_answers_are_never_let_go():
    """Guards against requests that may have run and are ended for the sake of new ones."""
    account = MemoryAccount(bound=BOUND)
    kept = fill(account, MEGABYTE)
    for holder in kept:
        account.change_kind(holder, HeldKind.KEPT_BODY)
    answer, _ = open_holder(account, HeldKind.ENDPOINT_ANSWER, SMALL_BYTES)
    late, decision = open_holder(account, HeldKind.INCOMPLETE_BODY, 2 * MEGABYTE, now=100.0)
    assert not decision.allowed and late.released
    assert not any(holder.released for holder in (*kept, answer))


def test_small_bodies_have_room_that_large_ones_cannot_use():
    """Guards against ordinary small requests that are refused beside large complete ones."""
    account = MemoryAccount(bound=BOUND)
    for holder in fill(account, MEGABYTE):
        account.change_kind(holder, HeldKind.KEPT_BODY)
    _, large = open_holder(account, HeldKind.INCOMPLETE_BODY, MEGABYTE)
    _, small = open_holder(account, HeldKind.INCOMPLETE_BODY, SMALL_BYTES)
    assert small.allowed and not large.allowed


def test_small_stalled_bodies_are_let_go_when_nothing_else_is_left():
    """Guards against many small bodies that fill the memory together."""
    account = MemoryAccount(bound=BOUND)
    while account.total + SMALL_BYTES <= BOUND:
        open_holder(account, HeldKind.INCOMPLETE_BODY, SMALL_BYTES)
    _, early = open_holder(account, HeldKind.INCOMPLETE_BODY, SMALL_BYTES, now=STALL_SECONDS / 2)
    _, late = open_holder(account, HeldKind.INCOMPLETE_BODY, SMALL_BYTES, now=STALL_SECONDS * 2)
    assert not early.allowed and late.allowed
    assert account.total <= BOUND


@pytest.mark.parametrize("kind", list(HeldKind))
def test_closed_holders_are_not_counted(kind):
    """Guards against an account that fills up although nothing is held."""
    account = MemoryAccount(bound=BOUND)
    holder, _ = open_holder(account, kind, MEGABYTE)
    account.change_kind(holder, HeldKind.KEPT_BODY)
    assert account.list_sizes()[HeldKind.KEPT_BODY] == account.total == MEGABYTE
    account.close(holder)
    account.close(holder)
    assert account.total == sum(account.list_sizes().values()) == 0


def test_a_released_holder_gets_no_memory_again():
    """Guards against a body that goes on to grow uncounted after it was let go."""
    account = MemoryAccount(bound=BOUND)
    stalled = fill(account, MEGABYTE)
    open_holder(account, HeldKind.INCOMPLETE_BODY, MEGABYTE, now=5.0)
    released = next(holder for holder in stalled if holder.released)
    total = account.total
    assert not account.resize(released, 2 * MEGABYTE, 6.0).allowed
    assert account.total == total
