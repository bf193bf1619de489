"""Tests of the administration interface over HTTP."""

import socket
from typing import Any

import httpcore
import orjson
import pytest
import trio

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_lists import AdminLists
from gypsumpost_daemon.admin.admin_server import serve_admin
from gypsumpost_daemon.lists.list_task import ListTask

ALLOWANCE = b"""[a]
requests_per_second = 5
tokens_per_second = 9
concurrent_generations = 1
deadline_seconds = 60
"""


class Client:
    """Calls the interface with the right key."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = httpcore.AsyncConnectionPool()

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Any:
        sent: dict[bytes | str, bytes | str] = {"authorization": "Bearer secret"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.address}/admin/v1/{path}"
        return await self.pool.request(method, url, headers=sent, content=body)


@pytest.fixture
async def client(nursery: trio.Nursery) -> Any:
    hosts = create_hosts(3)
    directory = create_directory(hosts[0], hosts)
    network, store = SimulatedNetwork(), ScriptedStore()
    tasks = [
        ListTask(
            directory=create_directory(host, hosts),
            peers=SimulatedPort(network=network, host_id=host.host_id),
            store=store,
        )
        for host in hosts[:2]
    ]
    for task in tasks:
        nursery.start_soon(task.run)
    application = AdminApplication(key="secret")
    AdminLists(store=store, task=tasks[0], directory=directory).add_routes(application)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    await nursery.start(serve_admin, application, address)
    client = Client(address)
    yield client
    await client.pool.aclose()
    nursery.cancel_scope.cancel()


async def wait_for_revision(client: Client, revision: int) -> dict[str, int | None]:
    while True:
        response = await client.call("GET", "revisions")
        revisions = orjson.loads(response.content)["revisions"]
        if revisions["h0"] == revisions["h1"] == revision:
            return revisions
        await trio.sleep(0.01)


async def test_edit_history_diff_and_undo(client: Client) -> None:
    """Guards against an interface that reports a different outcome than the editor."""
    accepted = await client.call("PUT", "allowances", ALLOWANCE, if_match="0", x_author="ann")
    assert (accepted.status, orjson.loads(accepted.content)["outcome"]) == (200, "accepted")
    incomplete = await client.call("PUT", "allowances", ALLOWANCE + b"[b]\n", if_match="0")
    assert incomplete.status == 422
    conflict = await client.call("PUT", "allowances", ALLOWANCE.replace(b"5", b"6"), if_match='"0"')
    assert conflict.status == 409
    assert "+requests_per_second = 6" in orjson.loads(conflict.content)["detail"]["difference"]
    refused = await client.call("PUT", "plans", b'[north]\nplan = "b"\n', if_match="1")
    assert refused.status == 422
    assert orjson.loads(refused.content)["detail"]["errors"][0]["line"] == 2
    # h2 runs no daemon, so it must be reported without a revision.
    assert await wait_for_revision(client, 1) == {"h0": 1, "h1": 1, "h2": None}
    shown = await client.call("GET", "allowances")
    assert dict(shown.headers)[b"etag"] == b"1"
    assert b"requests_per_second = 5" in shown.content
    history = orjson.loads((await client.call("GET", "allowances/history")).content)
    assert [(row["revision"], row["author"], row["entries"]) for row in history] == [
        (1, "ann", ["a"])
    ]
    assert b"+[a]" in (await client.call("GET", "allowances/diff?from=0&to=1")).content
    undone = await client.call("POST", "allowances/undo?revision=1")
    assert orjson.loads(undone.content) == {"outcome": "accepted", "detail": {"revision": 2}}
    status = orjson.loads((await client.call("GET", "status")).content)
    assert status["host_id"] == "h0"


@pytest.mark.parametrize(
    ("method", "path", "headers", "status"),
    [
        ("GET", "plans", {"authorization": "Bearer wrong"}, 401),
        ("GET", "nothing", {}, 404),
        ("DELETE", "plans", {}, 405),
        ("PUT", "plans", {}, 428),
        ("PUT", "plans", {"if_match": "-1"}, 428),
        ("POST", "plans/undo?revision=x", {}, 400),
        ("GET", "plans/diff?from=a", {}, 400),
        ("GET", "plans/diff?from=5&to=2", {}, 200),
    ],
)
async def test_wrong_calls_are_refused(
    client: Client, method: str, path: str, headers: dict[str, str], status: int
) -> None:
    """Guards against invalid requests that stop the daemon or are accepted without the key."""
    assert (await client.call(method, path, b"", **headers)).status == status
