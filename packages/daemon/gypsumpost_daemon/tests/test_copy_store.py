"""Tests of the store of copies held for other daemons."""

import trio

from gypsumpost_core.generations.record_size import measure_record
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.tests.copy_fixtures import (
    GENERATION_ID,
    create_record,
    get_held,
    read_text,
    send,
)

BOUND = 1 << 20


def append(text, start, epoch=1, finish="", generation_id=GENERATION_ID):
    return (generation_id, epoch, start, text, finish)


async def test_lower_epoch_is_stale():
    """Guards against a paused previous owner that changes a copy after it was handed over."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("ab")])
    store.hand_over(GENERATION_ID, "w1", "taker")
    assert get_held(store).record.epoch == 2
    assert (await send(store, appended=[append("c", 2)])).stale == [GENERATION_ID]
    assert (await send(store, opened=[create_record("abc")])).stale == [GENERATION_ID]
    assert read_text(get_held(store).record) == "ab"


async def test_second_owner_of_the_same_epoch_is_stale():
    """Guards against a copy with text of two owners after takeovers from both home and holder."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, "first", opened=[create_record("ab", epoch=2)])
    reply = await send(store, "second", opened=[create_record("ax", epoch=2)])
    assert reply.stale == [GENERATION_ID]
    assert (await send(store, "second", appended=[append("y", 2, 2)])).stale == [GENERATION_ID]
    assert (await send(store, "first", appended=[append("c", 2, 2)])).stale == []
    assert read_text(get_held(store).record) == "abc"


async def test_unknown_generation_and_gap_are_missing():
    """Guards against a copy with missing tokens."""
    store = CopyStore(max_bytes=BOUND)
    assert (await send(store, appended=[append("a", 0)])).missing == [GENERATION_ID]
    await send(store, opened=[create_record("ab")])
    assert (await send(store, appended=[append("d", 3)])).missing == [GENERATION_ID]
    assert read_text(get_held(store).record) == "ab"


async def test_repeated_batch_changes_nothing():
    """Guards against duplicate tokens after a lost reply."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("ab")])
    for _ in range(2):
        assert (await send(store, appended=[append("cd", 2)])).missing == []
    held = get_held(store)
    assert read_text(held.record) == "abcd"
    assert store.held_bytes == held.size == measure_record(held.record)


async def test_end_cut_by_a_stop_sequence_replaces_copied_pieces():
    """Guards against a copy that contains the text of a stop sequence."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("abcd")])
    await send(store, appended=[append("b", 1, finish="stop")])
    held = get_held(store)
    assert (read_text(held.record), held.record.finish_reason) == ("ab", "stop")
    await send(store, appended=[append("", 0, finish="stop")])
    assert read_text(held.record) == ""
    assert store.held_bytes == measure_record(held.record)


async def test_other_workspace_cannot_take():
    """Guards against a workspace reading the answer of another."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("ab")])
    assert store.hand_over(GENERATION_ID, "w2", "taker") is None
    held = get_held(store)
    assert (held.record.epoch, held.owner) == (1, "owner")


async def test_only_the_owner_closes():
    """Guards against a previous owner that drops the copy of the new one."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("ab")])
    store.hand_over(GENERATION_ID, "w1", "taker")
    await send(store, closed=[GENERATION_ID])
    assert store.count == 1
    await send(store, "taker", closed=[GENERATION_ID])
    assert (store.count, store.held_bytes) == (0, 0)


async def test_copies_beyond_the_bound_are_refused():
    """Guards against unlimited memory use of a holder."""
    first, second = create_record("ab"), create_record("ab", generation_id="generation2")
    store = CopyStore(max_bytes=measure_record(first) * 2 - 1)
    reply = await send(store, opened=[first, second])
    assert reply.refused == ["generation2"]
    assert (store.count, store.held_bytes) == (1, measure_record(first))
    await send(store, closed=[GENERATION_ID])
    assert (await send(store, opened=[second])).refused == []


async def test_growth_beyond_the_bound_is_refused_and_keeps_the_earlier_state():
    """Guards against a limit that applies only to new copies, and against dropping state that
    callers rely on when a change is refused."""
    record = create_record("ab")
    store = CopyStore(max_bytes=measure_record(record) + 100)
    await send(store, opened=[record])
    assert (await send(store, appended=[append("cd", 2)])).refused == [GENERATION_ID]
    assert (await send(store, opened=[create_record("abcdef")])).refused == [GENERATION_ID]
    assert read_text(get_held(store).record) == "ab"
    assert store.held_bytes <= store.max_bytes


async def test_expired_copies_free_their_bytes(autojump_clock):
    """Guards against counting removed copies towards the memory limit."""
    store = CopyStore(max_bytes=BOUND)
    await send(store, opened=[create_record("ab", keep_until=1.0)])
    with trio.move_on_after(2.5):
        await store.run()
    assert (store.count, store.held_bytes) == (0, 0)
