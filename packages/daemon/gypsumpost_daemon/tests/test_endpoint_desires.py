"""Tests of the stopping of endpoints by operators."""

from functools import partial
from typing import Any

import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_daemon.endpoints.endpoint_desires import EndpointDesires
from gypsumpost_daemon.endpoints.endpoint_editor import EndpointEditor
from gypsumpost_daemon.endpoints.endpoint_record import read_endpoint_record
from gypsumpost_daemon.engines.endpoint_table import EndpointTable
from gypsumpost_daemon.engines.endpoint_work import parse_work
from gypsumpost_daemon.lists.edit_outcome import EditAccepted, EditConflict, EditNotAccepted

CUT_OFF = "d2"
"""Failure domain whose daemons have no connection to the store."""

MALFORMED_REPORTS: list[Any] = [{}, [], None, {"running": "x"}]


async def change(store: ScriptedStore, name: str, desired: str) -> None:
    editor, deadline = EndpointEditor(store=store), trio.current_time() + 5
    outcome = await editor.set_desired(name, desired, author="ann", deadline=deadline)
    assert isinstance(outcome, EditAccepted)


async def test_stops_reach_every_daemon_and_outlast_an_outage(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests to a stopped endpoint, and none after it is started again."""
    hosts, store = create_hosts(12), ScriptedStore()
    network = SimulatedNetwork(loss=0.05, seed=3)
    applied: dict[str, frozenset[str]] = {}
    async with trio.open_nursery() as nursery:
        for host in hosts:
            desires = EndpointDesires(
                directory=create_directory(host, hosts),
                peers=SimulatedPort(network=network, host_id=host.host_id),
                store=None if host.failure_domain == CUT_OFF else store,
                apply=partial(applied.__setitem__, host.host_id),
            )
            nursery.start_soon(desires.run)
        await trio.sleep(2)
        await change(store, "engine-1", "stopped")
        await trio.sleep(4)
        assert applied == {host.host_id: frozenset({"engine-1"}) for host in hosts}
        store.set_down(True)
        await trio.sleep(30)
        store.set_down(False)
        await change(store, "engine-2", "stopped")
        await change(store, "engine-1", "started")
        await trio.sleep(12)
        assert set(applied.values()) == {frozenset({"engine-2"})}
        nursery.cancel_scope.cancel()


async def test_lost_answers_are_settled_by_the_nonce(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a retried write that overwrites another operator's later change."""
    store = ScriptedStore(faults=["after"])
    await change(store, "engine-1", "stopped")
    store.faults = ["before"]
    editor = EndpointEditor(store=store)

    async def change_meanwhile() -> None:
        await trio.sleep(0.1)
        await change(store, "engine-1", "started")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_meanwhile)
        deadline = trio.current_time() + 5
        outcome = await editor.set_desired("engine-1", "stopped", author="bob", deadline=deadline)
    assert isinstance(outcome, EditConflict)
    assert outcome.difference == "ann has set it to started"
    store.set_down(True)
    late = await editor.set_desired("engine-1", "stopped", author="bob", deadline=deadline)
    assert isinstance(late, EditNotAccepted)


def test_table_shows_stopped_endpoints_as_leaving() -> None:
    """Guards against a stop that a later list of the platform cancels."""
    endpoint = Endpoint(name="e1", kind=EndpointKind.ENGINE, address="", failure_domain="d")
    table = EndpointTable()
    table.replace_stopped(frozenset({"e1"}))
    table.replace([endpoint])
    assert [e.status for e in table.list_all()] == [EndpointStatus.LEAVING]
    table.replace_stopped(frozenset())
    assert table.find("e1") == endpoint


@pytest.mark.parametrize("value", [b"", b"x", b"[]", b"1", b"{}", b'"a"', b"null"])
def test_malformed_records_are_values(value: bytes) -> None:
    """Guards against a stored record that crashes every daemon that reads it."""
    assert isinstance(read_endpoint_record(value), Err)
    assert isinstance(read_endpoint_record(b'{"desired":"stopped"}'), Ok)


def test_work_of_engines_and_services() -> None:
    """Guards against counting an endpoint with only queued requests as idle."""
    assert parse_work({"running": 0, "waiting": 2}) == 2
    assert parse_work({"running": 1, "draining": False}) == 1
    assert [parse_work(value) for value in MALFORMED_REPORTS] == [None] * 4
