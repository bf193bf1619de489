"""Tests of the placement task with an in-memory store and simulated engines."""

from collections.abc import Mapping
from typing import Any

import attrs
import trio
import trio.testing
from result import Err, Ok, Result

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.placement_engine import PlacementEngine
from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_core.host import Host
from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.engines.engine_client import NO_HEADERS, EngineClient
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.placement.order_lease_store import OrderLeaseStore
from gypsumpost_daemon.placement.placement_task import PlacementTask

REFS = tuple(ModelRef(model=name) for name in "abc")


class MemoryEngines(EngineClient):
    """Engine client that answers for simulated engines; an engine's address is its name."""

    def __init__(self, engines: dict[str, PlacementEngine]) -> None:
        super().__init__()
        self.engines = engines
        self.orders: list[dict[str, Any]] = []

    async def get_json(
        self,
        endpoint_address: str,
        path: str,
        deadline: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Result:
        await trio.sleep(0.01)
        engine = self.engines[endpoint_address]
        return Ok(
            {"boot_id": str(engine.boot), "running": 0, "waiting": 0, "cache_used": 0.0}
            | {"sampled_at": 0.0, "draining": False, "model_slots": engine.model_slots}
            | {"models": [attrs.asdict(ref) for ref in sorted(engine.models, key=str)]}
        )

    async def post_json(
        self,
        endpoint_address: str,
        path: str,
        value: Any,
        deadline: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Result:
        await trio.sleep(0.01)
        self.orders.append(value)
        engine = self.engines[endpoint_address]
        ref = ModelRef(**{name: value[name] for name in ("model", "version", "adapter")})
        action = OrderAction(value["action"])
        order = EngineOrder(engine=endpoint_address, boot_id="", action=action, ref=ref)
        if engine.execute(order, value["fencing_token"]):
            return Ok({})
        return Err(EngineFailure(reason="old token", may_have_run=False, status=409))


def create_task(host: Host, hosts: list[Host], client: MemoryEngines, store: MemoryStore):
    endpoints = [
        Endpoint(
            name=name,
            kind=EndpointKind.ENGINE,
            address=name,
            failure_domain=hosts[0].failure_domain,
            checks_fencing=engine.checks_fencing,
        )
        for name, engine in client.engines.items()
    ]
    return PlacementTask(
        directory=create_directory(host, hosts),
        lease=OrderLease(host_id=host.host_id, settings=LeaseSettings()),
        lease_store=OrderLeaseStore(store=store, domain=host.failure_domain),
        engines=client,
        list_endpoints=lambda: endpoints,
        list_allowed=lambda: frozenset(REFS),
        read_demand=lambda: dict.fromkeys(REFS, 10.0),
    )


async def test_one_daemon_orders_and_stops_in_a_store_outage(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against orders of two daemons, orders without a lease, and a lost last copy."""
    engines = {
        name: PlacementEngine(name=name, model_slots=2, checks_fencing=True, models=set(REFS[:2]))
        for name in ("e1", "e2")
    }
    client, store = MemoryEngines(engines), MemoryStore()
    first = create_hosts(9)[0]
    hosts = [attrs.evolve(first, host_id=f"h{number}") for number in range(3)]
    tasks = [create_task(host, hosts, client, store) for host in hosts]
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task.run)
        await trio.sleep(60)
        assert set.union(*(engine.models for engine in engines.values())) == set(REFS)
        assert {order["fencing_token"] for order in client.orders} == {1}
        assert len(client.orders) == 3

        store.faults.inject(StoreFault(kind=StoreFaultKind.DOWN))
        await trio.sleep(30)
        engines["e1"].restart(0.0)
        await trio.sleep(60)
        assert len(client.orders) == 3

        store.faults.inject(StoreFault(kind=StoreFaultKind.NONE))
        await trio.sleep(90)
        assert set.union(*(engine.models for engine in engines.values())) == set(REFS)
        assert {order["fencing_token"] for order in client.orders} == {1, 2}
        nursery.cancel_scope.cancel()


async def test_a_planned_stop_hands_the_lease_over(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a stopped holder that keeps the lease until it expires."""
    client, store = MemoryEngines({}), MemoryStore()
    hosts = create_hosts(1)
    task = create_task(hosts[0], hosts, client, store)
    for token in (1, 2):
        with trio.move_on_after(5):
            await task.run()
        assert task.lease.fencing_token == token
        task = create_task(hosts[0], hosts, client, store)


async def test_a_host_that_is_not_live_acquires_no_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a stopping host that acquires the lease again or fails to find its rank."""
    client, store = MemoryEngines({}), MemoryStore()
    hosts = create_hosts(1)
    task = create_task(hosts[0], hosts, client, store)
    task.directory.update(hosts[0], live=False)
    with trio.move_on_after(30):
        await task.run()
    assert store.limits.call_count == 0
