"""Tests of the stand-in platform over HTTP and of the daemon's store client."""

from pathlib import Path

import httpcore
import orjson
import trio
from result import Err, Ok

from gypsumpost_bench.call_cluster import find_free_address
from gypsumpost_bench.lagging_list import LaggingList
from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.platform_application import PlatformApplication
from gypsumpost_bench.platform_stand_in import run_platform
from gypsumpost_bench.stand_in_http import serve_application
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_client import StoreClient
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreGet,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

DEADLINE_SECONDS = 10


class Platform:
    """A running platform with a client in domain d1."""

    def __init__(self) -> None:
        self.address = find_free_address()
        self.client = StoreClient(addresses=[self.address], failure_domain="d1")

    async def start(self, nursery: trio.Nursery, hosts_file: Path, **limits: float) -> None:
        async def serve() -> None:
            await run_platform(address=self.address, hosts_file=str(hosts_file), **limits)

        nursery.start_soon(serve)
        while isinstance(await self.put(b"ready", b""), Err):
            await trio.sleep(0.01)

    async def put(self, key: bytes, value: bytes):
        deadline = trio.current_time() + DEADLINE_SECONDS
        put = StoreTransaction(success=(StorePut(key=key, value=value),))
        return await self.client.run_transaction(put, deadline)

    async def get(self, key: bytes):
        deadline = trio.current_time() + DEADLINE_SECONDS
        get = StoreTransaction(success=(StoreGet(key=key),))
        return await self.client.run_transaction(get, deadline)

    async def inject_fault(self, **request: object) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{self.address}/faults"
            response = await pool.request("POST", url, content=orjson.dumps(request))
            assert response.status == 200


async def test_nested_transactions_leases_and_watch(nursery: trio.Nursery, tmp_path: Path) -> None:
    """Guards against a client and a stand-in that differ in the JSON of the etcd gateway."""
    platform = Platform()
    await platform.start(nursery, tmp_path / "hosts.json")
    deadline = trio.current_time() + DEADLINE_SECONDS
    lease = (await platform.client.grant_lease(30, deadline)).unwrap()
    claim = StoreTransaction(
        compare=(StoreCompare(key=b"k\xff", create_revision=0),),
        success=(StorePut(key=b"k\xff", value=b"\x00v", lease=lease),),
        failure=(StoreGet(key=b"k\xff"),),
    )
    batch = StoreTransaction(success=(claim,))
    first = (await platform.client.run_transaction(batch, deadline)).unwrap()
    second = (await platform.client.run_transaction(batch, deadline)).unwrap()
    (created,), (found,) = first.results, second.results
    assert isinstance(created, StoreTransactionResult) and created.succeeded
    assert isinstance(found, StoreTransactionResult) and not found.succeeded
    assert [pair.value for pair in found.results[0]] == [b"\x00v"]  # type: ignore[union-attr]
    assert await platform.client.renew_lease(lease, deadline) == Ok(30)
    assert await platform.client.revoke_lease(lease, deadline) == Ok(None)
    assert await platform.client.renew_lease(lease, deadline) == Ok(0)
    seen: list[StoreEvent] = []
    async for events in platform.client.watch(b"k", b"l", first.revision):
        seen += events
        if len(seen) == 2:
            break
    assert [event.value for event in seen] == [b"\x00v", None]
    nursery.cancel_scope.cancel()


async def test_faults_report_sent_correctly(nursery: trio.Nursery, tmp_path: Path) -> None:
    """Guards against a lost answer that is reported as a call without effect."""
    platform = Platform()
    await platform.start(nursery, tmp_path / "hosts.json")
    await platform.inject_fault(kind="lose_answers", seconds=60)
    lost = await platform.put(b"lost", b"1")
    assert isinstance(lost, Err) and lost.err_value.sent
    await platform.inject_fault(kind="none")
    assert (await platform.get(b"lost")).unwrap().results[0][0].value == b"1"
    await platform.inject_fault(kind="partition", seconds=60, domain="d1")
    assert isinstance(await platform.put(b"cut", b"1"), Err)
    other = StoreClient(addresses=[platform.address], failure_domain="d2")
    get = StoreTransaction(success=(StoreGet(key=b"cut"),))
    deadline = trio.current_time() + DEADLINE_SECONDS
    assert (await other.run_transaction(get, deadline)).unwrap().results == ((),)
    nursery.cancel_scope.cancel()


async def test_unreachable_store_and_refused_call_are_not_sent(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    """Guards against treating outages and refusals as calls that may have had an effect."""
    platform = Platform()
    unreachable = await platform.put(b"k", b"1")
    assert isinstance(unreachable, Err) and not unreachable.err_value.sent
    await platform.start(nursery, tmp_path / "hosts.json", writes_per_second=2)
    outcomes = [await platform.put(b"k", b"1") for _ in range(20)]
    refused = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
    assert refused and not any(failure.sent for failure in refused)
    nursery.cancel_scope.cancel()


async def test_cut_watch_ends(nursery: trio.Nursery, tmp_path: Path) -> None:
    """Guards against a watcher that waits forever on a watch that was cut."""
    platform = Platform()
    await platform.start(nursery, tmp_path / "hosts.json")

    async def cut_after_first_event() -> None:
        await platform.put(b"k", b"1")
        await platform.inject_fault(kind="cut_watches", seconds=60)

    nursery.start_soon(cut_after_first_event)
    batches = [events async for events in platform.client.watch(b"k", b"", 1)]
    assert [event.value for events in batches for event in events] in ([b"1"], [])
    nursery.cancel_scope.cancel()


def test_list_shows_the_contents_of_one_lag_ago(tmp_path: Path) -> None:
    """Guards against a list without lag, which would hide how daemons handle a stale list."""
    path = tmp_path / "hosts.json"
    path.write_text('{"hosts":[1],"endpoints":[]}')
    hosts = LaggingList(path=path, lag=5)
    assert hosts.read(0)["hosts"] == [1]
    path.write_text('{"hosts":[2],"endpoints":[]}')
    hosts.poll(10)
    path.write_text('{"hosts":[2')
    assert hosts.read(14.9)["hosts"] == [1]
    assert hosts.read(15)["hosts"] == [2]


async def test_the_client_believes_an_era_that_two_answers_name(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    """Guards against answers, refusals and watches whose era the client does not read."""
    store, address = MemoryStore(), find_free_address()
    hosts = LaggingList(path=tmp_path / "hosts.json", lag=0.0)
    application = PlatformApplication(store=store, hosts=hosts)
    nursery.start_soon(serve_application, application, address)
    eras = EraMonitor()
    client = StoreClient(addresses=[address], failure_domain="d1", eras=eras)

    async def grant() -> bool:
        return isinstance(await client.grant_lease(10, trio.current_time() + 5), Ok)

    while not await grant():
        await trio.sleep(0.01)
    older = store.logic.make_copy()
    store.logic.restore(older)
    assert [event async for event in client.watch(b"a", b"b", 1)] == []
    assert eras.era == 0
    assert await grant()
    assert eras.era == 1
    store.logic.restore(older)
    assert not await grant()
    bad = StoreTransaction(success=(StorePut(key=b"a", value=b"", lease=77),))
    refused = await client.run_transaction(bad, trio.current_time() + 5)
    assert isinstance(refused, Err) and not refused.err_value.sent
    assert eras.era == 2
    nursery.cancel_scope.cancel()
