"""Tests of the replication of list changes between daemons."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_update import ListUpdate
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.lists.edit_outcome import EditAccepted
from gypsumpost_daemon.lists.list_codec import decode_update, encode_update
from gypsumpost_daemon.lists.list_editor import ListEditor
from gypsumpost_daemon.lists.list_task import ListTask
from gypsumpost_daemon.lists.stored_lists import read_lists
from gypsumpost_daemon.store.store import Store


class Fleet:
    """Nine daemons with one store."""

    def __init__(self, *, network: SimulatedNetwork, store: ScriptedStore) -> None:
        self.network = network
        self.store = store
        self.hosts = create_hosts(9)
        self.directories = {h.host_id: create_directory(h, self.hosts) for h in self.hosts}
        self.tasks: dict[str, ListTask] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def run(self, host_id: str, store: Store | None) -> None:
        self.tasks[host_id] = ListTask(
            directory=self.directories[host_id],
            peers=SimulatedPort(network=self.network, host_id=host_id),
            store=store,
        )
        with trio.CancelScope() as self.scopes[host_id]:
            await self.tasks[host_id].run()

    def kill(self, host_id: str) -> None:
        self.scopes[host_id].cancel()
        self.network.handlers.pop(host_id, None)
        for directory in self.directories.values():
            directory.update(self.tasks[host_id]._directory.own, live=False)

    async def edit(self, rate: int) -> None:
        text = (
            f"[a]\nrequests_per_second = {rate}\ntokens_per_second = 9\n"
            "concurrent_generations = 1\ndeadline_seconds = 60\n"
        )
        base = (await read_lists(self.store, 0)).unwrap().lists.revision
        deadline = trio.current_time() + 5
        outcome = await ListEditor(store=self.store).replace_list(
            ListKind.ALLOWANCES, text, base=base, author="ann", deadline=deadline
        )
        assert outcome == EditAccepted(revision=base + 1)

    def list_rates(self) -> set[tuple[str, float]]:
        return {
            (host_id, task.lists.allowances["a"].requests_per_second)
            for host_id, task in self.tasks.items()
            if not self.scopes[host_id].cancel_called and task.revision
        }


async def run_fleet(
    scenario: Callable[[Fleet], Awaitable[None]],
    *,
    network: SimulatedNetwork | None = None,
    without_store: frozenset[str] = frozenset(),
) -> None:
    fleet = Fleet(network=network or SimulatedNetwork(), store=ScriptedStore())
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            store = None if host.failure_domain in without_store else fleet.store
            nursery.start_soon(fleet.run, host.host_id, store)
        await trio.sleep(1)
        await scenario(fleet)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(5))
async def test_lossy_links_deliver_every_change(autojump_clock: object, seed: int) -> None:
    """Guards against a daemon that stays behind after message loss, repeats and reordering."""
    network = SimulatedNetwork(seed=seed, loss=0.3, repeats=0.3, jitter=0.2)

    async def scenario(fleet: Fleet) -> None:
        for rate in range(1, 11):
            await fleet.edit(rate)
            before = {host_id: task.revision for host_id, task in fleet.tasks.items()}
            await trio.sleep(0.1)
            assert all(task.revision >= before[h] for h, task in fleet.tasks.items())
        # With a third of all messages lost, several polls may be needed.
        await trio.sleep(30)
        assert fleet.list_rates() == {(host.host_id, 10) for host in fleet.hosts}

    await run_fleet(scenario, network=network)


async def test_change_reaches_all_daemons_with_two_watches_per_domain(
    autojump_clock: object,
) -> None:
    """Guards against a number of store watches that grows with the fleet, and slow propagation."""

    async def scenario(fleet: Fleet) -> None:
        assert fleet.store.watches == 6
        await fleet.edit(7)
        await trio.sleep(0.1)
        assert fleet.list_rates() == {(host.host_id, 7) for host in fleet.hosts}
        assert sum(task.status.watching for task in fleet.tasks.values()) == 6

    await run_fleet(scenario)


async def test_domain_without_store_gets_changes_from_other_domains(autojump_clock: object) -> None:
    """Guards against a domain that keeps old lists although other domains have newer ones."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.edit(1)
        await trio.sleep(4)
        await fleet.edit(2)
        await trio.sleep(4)
        assert fleet.list_rates() == {(host.host_id, 2) for host in fleet.hosts}

    await run_fleet(scenario, without_store=frozenset({"d1"}))


async def test_loss_of_both_watchers_moves_the_watch(autojump_clock: object) -> None:
    """Guards against a domain without a store watch after its watchers have failed."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.edit(1)
        await trio.sleep(1)
        watching = [host_id for host_id, task in fleet.tasks.items() if task.status.watching]
        for host_id in watching:
            fleet.kill(host_id)
        await trio.sleep(1)
        await fleet.edit(2)
        await trio.sleep(4)
        assert len(fleet.list_rates()) == 3
        assert {rate for _, rate in fleet.list_rates()} == {2}

    await run_fleet(scenario)


async def test_start_during_an_outage_takes_the_highest_revision(autojump_clock: object) -> None:
    """Guards against a restarted daemon that serves without lists while the store is down."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.edit(1)
        await trio.sleep(4)
        fleet.store.set_down(True)
        fleet.kill("h0")
        for directory in fleet.directories.values():
            directory.update(fleet.hosts[0], live=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run, "h0", fleet.store)
            await trio.sleep(2)
            assert ("h0", 1) in fleet.list_rates()
            nursery.cancel_scope.cancel()

    await run_fleet(scenario)


async def test_cut_off_daemons_keep_serving_and_report_it(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against outdated lists that are not reported as cut off."""
    monkeypatch.setattr("time.time", lambda: 1e9 + autojump_clock.current_time())

    async def scenario(fleet: Fleet) -> None:
        await fleet.edit(1)
        await trio.sleep(4)
        assert not any(task.status.cut_off for task in fleet.tasks.values())
        fleet.store.set_down(True)
        await trio.sleep(40)
        assert all(task.status.cut_off for task in fleet.tasks.values())
        assert fleet.list_rates() == {(host.host_id, 1) for host in fleet.hosts}
        fleet.store.set_down(False)
        await trio.sleep(20)
        assert not any(task.status.cut_off for task in fleet.tasks.values())

    await run_fleet(scenario)


def test_codec_round_trip_and_malformed_messages() -> None:
    """Guards against a truncated peer message that crashes the daemon."""
    update = ListUpdate(revision=7, store_seen_at=1.5, snapshot=Lists(revision=7))
    payload = encode_update(update)
    assert decode_update(payload).unwrap() == update
    for length in range(len(payload)):
        decode_update(payload[:length])
    assert decode_update(b"\xff" * 40).is_err()
