"""Tests of the stopped endpoints while the store comes back from older copies."""

import random

import pytest
import trio
import trio.testing

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_copy import StoreCopy
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_daemon.endpoints import endpoint_editor
from gypsumpost_daemon.endpoints.endpoint_editor import EndpointEditor
from gypsumpost_daemon.endpoints.endpoint_watcher import EndpointWatcher
from gypsumpost_daemon.endpoints.stopped_endpoints import StoppedEndpoints
from gypsumpost_daemon.lists.edit_outcome import EditAccepted
from gypsumpost_daemon.store.era_monitor import EraMonitor


class EndpointHost:
    """A host that takes commands and watches the stopped endpoints."""

    def __init__(self, store: MemoryStore) -> None:
        self.eras = EraMonitor()
        self.store = store.for_domain("d", self.eras)
        self.state = StoppedEndpoints()
        self.seen: list[frozenset[str]] = []

    async def follow(self) -> None:
        await EndpointWatcher(
            store=self.store, adopt=self.adopt, rng=random.Random(1), eras=self.eras
        ).follow()

    def adopt(self, state: StoppedEndpoints) -> None:
        if state.revision > self.state.revision:
            self.state = state
            self.seen.append(state.names)

    async def set_desired(self, name: str, desired: str) -> None:
        deadline = trio.current_time() + 5
        outcome = await EndpointEditor(store=self.store).set_desired(
            name, desired, author="ann", deadline=deadline
        )
        assert isinstance(outcome, EditAccepted)


@pytest.fixture
def host(monkeypatch: pytest.MonkeyPatch) -> EndpointHost:
    # Records are compared by their time, which has to pass as the simulated time does.
    monkeypatch.setattr(endpoint_editor.time, "time", trio.current_time)
    store = MemoryStore()
    store.logic.era = StoreEra(1)
    return EndpointHost(store)


async def copy_with_stop(nursery: trio.Nursery, host: EndpointHost) -> StoreCopy:
    """Start the host, stop endpoint ``e1``, and return a copy of the store with that record."""
    nursery.start_soon(host.follow)
    await trio.sleep(3)
    await host.set_desired("e1", "stopped")
    await trio.sleep(1)
    return host.store.logic.make_copy()


async def test_a_lost_stop_is_stored_again_and_never_undone(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, host: EndpointHost
) -> None:
    """Guards against requests to an endpoint whose stop the copy lacks."""
    older = await copy_with_stop(nursery, host)
    await host.set_desired("e1", "started")
    for _ in range(10):
        await host.set_desired("e2", "started")
        await host.set_desired("e2", "stopped")
    await trio.sleep(5)
    host.seen.clear()
    for _ in range(2):
        host.store.logic.restore(older)
        await trio.sleep(10)
    assert set(host.seen) == {frozenset({"e2"})}
    assert host.eras.era == 3
    nursery.cancel_scope.cancel()


async def test_what_an_operator_writes_after_a_restore_holds(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, host: EndpointHost
) -> None:
    """Guards against a command that is ignored for its low revision, or written over."""
    older = await copy_with_stop(nursery, host)
    for _ in range(10):
        await host.set_desired("e2", "stopped")
    await trio.sleep(5)
    host.store.logic.restore(older)
    await host.store.grant_lease(10, trio.current_time() + 1)
    await host.set_desired("e2", "started")
    await trio.sleep(10)
    assert host.state.names == {"e1"}
    await host.set_desired("e1", "started")
    await trio.sleep(5)
    assert host.state.names == frozenset()
    nursery.cancel_scope.cancel()
