"""Tests of the operators' lists while the store comes back from older copies."""

import random

import attrs
import trio
import trio.testing
from result import Err

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_replica import ListReplica
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.lists.edit_outcome import (
    EditAccepted,
    EditConflict,
    EditNotAccepted,
    EditOutcome,
)
from gypsumpost_daemon.lists.list_editor import ListEditor
from gypsumpost_daemon.lists.list_restore import REVISION_STEP
from gypsumpost_daemon.lists.stored_lists import read_lists
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_watcher import StoreWatcher

ALLOWANCE = """
[{name}]
requests_per_second = {rate}
tokens_per_second = 1000
concurrent_generations = 10
deadline_seconds = 60
"""


@attrs.define(kw_only=True)
class ListHost:
    """A host that watches the lists and takes edits; it has no peers."""

    store: MemoryStore
    domain: str = "d"
    eras: EraMonitor = attrs.field(factory=EraMonitor)
    replica: ListReplica = attrs.field(factory=ListReplica)
    seen: list[int] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.store = self.store.for_domain(self.domain, self.eras)

    async def follow(self) -> None:
        await StoreWatcher(
            store=self.store,
            replica=self.replica,
            notify=lambda: self.seen.append(self.replica.revision),
            rng=random.Random(1),
            eras=self.eras,
        ).follow()

    async def edit(self, rates: dict[str, int], base: int) -> EditOutcome:
        editor = ListEditor(
            store=self.store, get_known_revision=self.find_known_revision, eras=self.eras
        )
        text = "".join(ALLOWANCE.format(name=name, rate=rate) for name, rate in rates.items())
        deadline = trio.current_time() + 5
        return await editor.replace_list(
            ListKind.ALLOWANCES, text, base=base, author="ann", deadline=deadline
        )

    def find_known_revision(self) -> int | None:
        return self.replica.revision if self.replica.store_seen_at else None

    def get_rates(self) -> dict[str, float]:
        return read_rates(self.replica.lists)


def read_rates(lists: Lists) -> dict[str, float]:
    return {name: entry.requests_per_second for name, entry in lists.allowances.items()}


async def start_host(nursery: trio.Nursery, store: MemoryStore, domain: str = "d") -> ListHost:
    host = ListHost(store=store, domain=domain)
    nursery.start_soon(host.follow)
    await trio.sleep(2)
    return host


def create_store() -> MemoryStore:
    store = MemoryStore()
    store.logic.era = StoreEra(1)
    return store


async def test_lost_edits_are_stored_again_and_edits_of_the_copy_are_told(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against lists that go back, and an edit that is stored and reaches no host."""
    store = create_store()
    host = await start_host(nursery, store)
    assert await host.edit({"a": 1}, 0) == EditAccepted(revision=1)
    await trio.sleep(1)
    older = store.logic.make_copy()
    for rate in (2, 3, 4):
        assert isinstance(await host.edit({"a": rate, "b": 1}, rate - 1), EditAccepted)
    await trio.sleep(5)
    for restores in (1, 2):
        store.logic.restore(older)
        await trio.sleep(1)
        assert isinstance(await host.edit({"a": 9}, 1), EditNotAccepted)
        await trio.sleep(15)
        revision = 4 + restores * REVISION_STEP
        conflict = await host.edit({"a": 9}, 1)
        assert isinstance(conflict, EditConflict) and conflict.revision == revision
        stored = (await read_lists(host.store, trio.current_time() + 1)).unwrap().lists
        assert read_rates(stored) == host.get_rates() == {"a": 4, "b": 1}
        assert host.replica.revision == revision
    assert isinstance(await host.edit({"a": 9}, revision), EditAccepted)
    await trio.sleep(1)
    assert host.get_rates() == {"a": 9}
    assert host.seen == sorted(host.seen)
    nursery.cancel_scope.cancel()


async def test_hosts_that_know_different_revisions_agree_afterwards(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two hosts that give one revision to different lists."""
    store = create_store()
    hosts = [await start_host(nursery, store, domain) for domain in ("d1", "d2")]
    older = store.logic.make_copy()
    await hosts[0].edit({"a": 1}, 0)
    await trio.sleep(5)
    until = trio.current_time() + 3
    store.faults.inject(StoreFault(kind=StoreFaultKind.PARTITION, until=until, domain="d2"))
    await hosts[0].edit({"a": 2}, 1)
    await trio.sleep(1)
    assert [host.replica.revision for host in hosts] == [2, 1]
    store.logic.restore(older)
    await trio.sleep(30)
    assert hosts[0].get_rates() == hosts[1].get_rates()
    assert hosts[0].replica.revision == hosts[1].replica.revision > REVISION_STEP
    nursery.cancel_scope.cancel()


async def test_more_entries_than_one_transaction_holds_are_stored_again(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a restore that the store refuses, so that no edit is accepted any more."""
    store = create_store()
    host = await start_host(nursery, store)
    older = store.logic.make_copy()
    rates: dict[str, int] = {}
    for revision in range(3):
        rates |= {f"a{revision}-{number}": 1 for number in range(90)}
        assert isinstance(await host.edit(rates, revision), EditAccepted)
    await trio.sleep(5)
    store.logic.restore(older)
    await trio.sleep(15)
    stored = (await read_lists(host.store, trio.current_time() + 1)).unwrap().lists
    assert read_rates(stored) == rates
    nursery.cancel_scope.cancel()


async def test_a_host_that_has_just_started_takes_no_edits_of_lists_it_does_not_know(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an edit of the copy at the one host that cannot tell that it is old."""
    store = create_store()
    host = ListHost(store=store)
    while isinstance(await host.edit({"a": 1}, 0), EditNotAccepted):
        await trio.sleep(1)
    assert isinstance(await host.edit({"a": 2}, 1), EditNotAccepted)


async def test_a_store_without_eras_is_not_written_to(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a change for stores that never come back from a copy."""
    store = create_store()
    store.logic.era = None
    host = await start_host(nursery, store)
    older = store.logic.make_copy()
    await host.edit({"a": 1}, 0)
    await trio.sleep(1)
    store.logic.restore(older)
    store.logic.era = None
    await trio.sleep(20)
    read = await read_lists(host.store, trio.current_time() + 1)
    assert not isinstance(read, Err) and read.ok_value.lists.revision == 0
    nursery.cancel_scope.cancel()
