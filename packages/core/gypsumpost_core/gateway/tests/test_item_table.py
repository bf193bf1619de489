"""Tests of the table of items received from the store and from peers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem


def create_item(key, revision, value=b"v"):
    return StoredItem(key=key, revision=revision, value=value)


CHANGES = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12).map(
    lambda rows: [
        create_item(key, n + 1, b"%d" % n if kept else None) for n, (key, kept) in enumerate(rows)
    ]
)


@given(CHANGES, st.randoms(use_true_random=False))
def test_the_order_of_arrival_does_not_matter(changes, random):
    """Guards against an older write that arrives late and overwrites a newer one."""
    ordered, shuffled = ItemTable(), ItemTable()
    ordered.apply(changes, len(changes))
    for change in random.sample(changes, len(changes)):
        shuffled.apply([change], change.revision)
    key = lambda entry: entry.key  # noqa: E731
    assert sorted(shuffled.list_present(), key=key) == sorted(ordered.list_present(), key=key)


def test_a_complete_read_removes_missing_items():
    """Guards against endpoints that stay because their removal was missed."""
    table = ItemTable()
    table.apply([create_item("a", 1), create_item("b", 2)], 2)
    changed = table.replace([create_item("b", 2)], 5)
    assert [(change.key, change.value) for change in changed] == [("a", None)]


def test_a_complete_read_keeps_newer_items():
    """Guards against a stale read that removes an item written after it."""
    table = ItemTable()
    table.apply([create_item("a", 7)], 7)
    assert table.replace([], 5) == []
    assert (
        [item.key for item in table.list_present()] == ["a"]
        and table.revision == 7
        and table.newest == 7
    )


def test_changes_after_a_revision_include_removals():
    """Guards against a peer that keeps a removed endpoint because it receives only changes."""
    table = ItemTable()
    table.replace([create_item("a", 1), create_item("b", 2)], 4)
    table.apply([create_item("b", 6, None), create_item("c", 7)], 7)
    changes = table.list_changes_after(4)
    assert changes is not None
    assert {(change.key, change.value) for change in changes} == {("b", None), ("c", b"v")}


def test_changes_are_refused_where_removals_may_be_missing():
    """Guards against incomplete changes from a host that started after a removal."""
    table = ItemTable()
    assert table.list_changes_after(0) is None
    table.replace([create_item("a", 1)], 4)
    assert table.list_changes_after(3) is None
    assert table.list_changes_after(4) == []


def test_a_discarded_item_is_applied_when_it_comes_again():
    """Guards against an item that arrived damaged and hides the sound copy of the same write."""
    table = ItemTable()
    table.replace([create_item("a", 3, b"damaged")], 4)
    table.discard("a")
    assert not table.loaded and table.discarded == 3
    assert [item.value for item in table.replace([create_item("a", 3, b"sound")], 4)] == [b"sound"]
    assert table.loaded


def test_only_the_last_change_of_a_key_is_returned():
    """Guards against a host that decodes all versions that it missed before the newest."""
    table = ItemTable()
    changed = table.apply([create_item("a", 1), create_item("b", 2), create_item("a", 3)], 3)
    assert sorted((item.key, item.revision) for item in changed) == [("a", 3), ("b", 2)]


@given(CHANGES, CHANGES)
def test_a_complete_read_may_leave_out_the_items_that_are_known(before, after):
    """Guards against a missed removal or a lost item when the known items are left out."""
    sender, receiver = ItemTable(), ItemTable()
    receiver.replace([], 0)
    receiver.apply(before, len(before))
    later = [
        StoredItem(key=change.key, revision=change.revision + len(before), value=change.value)
        for change in after
    ]
    for change in (*before, *later):
        sender.apply([change], change.revision)
    present = sender.list_present()
    newer = [item for item in present if item.revision > receiver.revision]
    kept = [item.key for item in present if item.revision <= receiver.revision]
    assert receiver.holds(kept, sender.revision)
    receiver.replace(newer, sender.revision, kept)
    assert {item.key: item.value for item in receiver.list_present()} == {
        item.key: item.value for item in present
    }


def test_an_item_that_was_never_known_is_not_held():
    """Guards against an item that a peer leaves out and this host does not have."""
    table = ItemTable()
    table.apply([create_item("a", 1), create_item("b", 2, None)], 2)
    assert table.holds(["a"], 5)
    assert not table.holds(["a", "c"], 5)
    assert not table.holds(["b"], 5)
    assert table.holds(["b"], 1)


ERA = StoreEra(4)
NEXT_ERA = StoreEra(5)


def create_loaded_table() -> ItemTable:
    table = ItemTable()
    items = [StoredItem(key=key, revision=80, value=b"former") for key in ("a", "b", "c")]
    table.replace(items, 80, era=ERA)
    table.apply([StoredItem(key="c", revision=81, value=None)], 81, ERA)
    return table


def test_items_of_a_later_era_count_although_their_revisions_are_lower():
    """Guards against changes that are ignored after a restore of the store."""
    table = create_loaded_table()
    items = [
        StoredItem(key="a", revision=20, value=b"former"),
        StoredItem(key="c", revision=21, value=b"former"),
        StoredItem(key="d", revision=22, value=b"new"),
    ]
    changed = table.replace(items, 30, era=NEXT_ERA)
    assert {item.key: item.value for item in changed} == {"b": None, "c": b"former", "d": b"new"}
    assert table.revived == {"c": 21}
    assert (table.era, table.revision, table.restores) == (NEXT_ERA, 30, 1)
    written = StoredItem(key="a", revision=31, value=b"again")
    assert table.apply([written], 31, NEXT_ERA) == [written]


def test_what_is_of_a_former_era_changes_nothing():
    """Guards against late answers, and peers with old news, after a restore of the store."""
    table = create_loaded_table()
    table.replace([StoredItem(key="a", revision=20, value=b"copy")], 20, era=NEXT_ERA)
    late = [StoredItem(key="a", revision=90, value=b"late")]
    assert table.apply(late, 90, ERA) == [] == table.replace(late, 90, era=ERA)
    assert [item.value for item in table.list_present()] == [b"copy"]
    assert table.revision == 20


def test_changes_alone_begin_no_era():
    """Guards against a table that lacks what was removed before it heard of the new era."""
    table = create_loaded_table()
    assert table.apply([StoredItem(key="a", revision=20, value=b"new")], 20, NEXT_ERA) == []
    assert (table.era, table.revision) == (ERA, 81)


def test_revisions_without_an_era_are_of_the_only_one_that_is_known():
    """Guards against hosts of an older version that are not understood in a roll-out."""
    table = create_loaded_table()
    assert table.resolve_era(NO_ERA) == ERA
    table.replace([], 20, era=NEXT_ERA)
    assert table.resolve_era(NO_ERA) == NO_ERA


def test_a_removal_stays_known_over_a_copy_that_lacks_it():
    """Guards against an endpoint that has left and is used after a second restore."""
    table = create_loaded_table()
    table.replace([create_item("a", 20)], 20, era=NEXT_ERA)
    read = [create_item("a", 10), create_item("b", 11), create_item("c", 12)]
    table.replace(read, 15, era=StoreEra(NEXT_ERA + 1))
    assert table.revived == {"c": 12}


@pytest.mark.parametrize("copies", [1, 2])
def test_what_a_copy_lacks_is_not_taken_for_removed(copies):
    """Guards against an endpoint that lives and is held back after a later restore."""
    table = create_loaded_table()
    for revision in range(20, 20 + copies):
        table.replace([create_item("a", 20)], revision, era=StoreEra(ERA + revision))
    read = [create_item("a", 20), create_item("b", 22)]
    changed = table.replace(read, 22, era=StoreEra(ERA + 22))
    assert [item.key for item in changed if item.value is not None] == ["b"]
    assert table.revived == {}


def test_a_removal_after_a_restore_is_known_at_the_next_one():
    """Guards against an endpoint that left after a restore and counts as only missing."""
    table = create_loaded_table()
    table.replace([], 20, era=NEXT_ERA)
    table.apply([create_item("b", 21), create_item("b", 22, None)], 22, NEXT_ERA)
    table.replace([create_item("b", 21)], 21, era=StoreEra(NEXT_ERA + 1))
    assert table.revived == {"b": 21}
