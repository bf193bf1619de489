"""Tests of calls to services through several daemons over loopback HTTP."""

import contextlib
from collections.abc import AsyncIterator

import attrs
import h11
import orjson
import pytest
import trio

from gypsumpost_bench.call_cluster import CallCluster, find_free_address
from gypsumpost_bench.service_fault_kind import ServiceFaultKind
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.calls.claim_batcher import find_batcher
from gypsumpost_daemon.calls.service_sender import MAX_ANSWER_BYTES


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> AsyncIterator[CallCluster]:
    started = CallCluster()
    await started.start(nursery)
    yield started
    nursery.cancel_scope.cancel()


def inject_store_fault(cluster: CallCluster, kind: StoreFaultKind) -> None:
    cluster.store.faults.inject(StoreFault(kind=kind))


def read_error(response: CallerResponse) -> dict[str, str]:
    return orjson.loads(response.body)["error"]


async def issue_key(cluster: CallCluster, daemon: int) -> str:
    response = await cluster.call(daemon, "/keys")
    return orjson.loads(response.body)["key"]


async def test_racing_duplicates_run_once_and_get_one_answer(cluster: CallCluster) -> None:
    """Guards against a second charge when a caller sends a call to several daemons."""
    responses: list[CallerResponse] = []

    async def race(daemon: int) -> None:
        responses.append(await cluster.call(daemon, idempotency_key="k", x_call_id="c"))

    async with trio.open_nursery() as racing:
        for daemon in (0, 1, 2, 0, 1, 2):
            racing.start_soon(race, daemon)
    assert cluster.count_executions() == {"c": 1}
    assert len({response.body for response in responses}) == 1
    assert {response.status for response in responses} == {200}
    assert all(response.headers["idempotency-key"] == "k" for response in responses)
    assert all(response.headers["x-call-id"] == "c" for response in responses)


async def test_lost_answer_of_the_store_is_read_back(cluster: CallCluster) -> None:
    """Guards against refusing or repeating a call whose claim was written but not confirmed."""
    inject_store_fault(cluster, StoreFaultKind.LOSE_ANSWERS)
    lost: list[int] = []

    def end_fault() -> None:
        lost.append(cluster.store.logic.revision)
        inject_store_fault(cluster, StoreFaultKind.NONE)

    cluster.store.logic.add_listener(end_fault)
    response = await cluster.call(2, idempotency_key="k", x_call_id="c")
    assert lost and response.status == 200
    assert cluster.count_executions() == {"c": 1}


async def test_store_outage_refuses_truthfully_and_issued_keys_work(cluster: CallCluster) -> None:
    """Guards against a false not_run for a retry, and against issued keys that need the store."""
    key = await issue_key(cluster, 0)
    await cluster.call(1, idempotency_key="earlier", x_call_id="earlier")
    inject_store_fault(cluster, StoreFaultKind.DOWN)
    first = await cluster.call(0, idempotency_key="k", x_call_id="c", x_call_attempt="1")
    assert read_error(first)["run_state"] == "not_run"
    repeat = await cluster.call(0, idempotency_key="earlier", x_call_id="earlier")
    assert read_error(repeat)["run_state"] == "unknown"
    issued = [
        await cluster.call(daemon, idempotency_key=key, x_call_id="issued") for daemon in (2, 0, 1)
    ]
    assert [response.status for response in issued] == [200, 200, 200]
    assert len({response.body for response in issued}) == 1
    assert cluster.count_executions() == {"earlier": 1, "issued": 1}


@pytest.mark.parametrize("kind", [ServiceFaultKind.CLOSE, ServiceFaultKind.DROP])
@pytest.mark.parametrize("key", ["chosen", "issued", ""])
async def test_nothing_is_sent_again_after_the_first_byte(
    cluster: CallCluster, kind: ServiceFaultKind, key: str
) -> None:
    """Guards against a second execution after a connection that closed without an answer."""
    for service in cluster.services:
        service.inject_fault({"kind": kind.value})
    headers = {"x_call_id": "c"}
    if key:
        headers["idempotency_key"] = await issue_key(cluster, 0) if key == "issued" else key
    response = await cluster.call(0, **headers)
    assert read_error(response)["run_state"] == "unknown"
    for service in cluster.services:
        service.inject_fault({"kind": "none"})
    if key:
        repeat = await cluster.call(1, **headers)
        assert read_error(repeat)["run_state"] == "unknown"
    assert cluster.count_executions()["c"] == (kind is ServiceFaultKind.CLOSE)


async def test_unreachable_and_leaving_endpoints(cluster: CallCluster) -> None:
    """Guards against a dead endpoint that uses up the retry budget, and calls to leaving ones."""
    dead = [attrs.evolve(endpoint, address=find_free_address()) for endpoint in cluster.endpoints]
    cluster.endpoints[0] = dead[0]
    for number in range(20):
        call_id = f"c{number}"
        response = await cluster.call(0, idempotency_key=call_id, x_call_id=call_id)
        assert response.status == 200
    cluster.endpoints[:] = dead
    refused = await cluster.call(0, idempotency_key="k", x_call_id="k")
    assert read_error(refused)["run_state"] == "not_run"
    leaving = attrs.evolve(dead[0], status=EndpointStatus.LEAVING)
    cluster.endpoints[:] = [leaving]
    assert read_error(await cluster.call(0, x_call_id="n"))["run_state"] == "not_run"
    assert set(cluster.count_executions().values()) == {1}


async def test_an_endpoint_that_asks_for_a_pause_gets_it(cluster: CallCluster) -> None:
    """Guards against calls to an endpoint that has turned this host away."""
    for service in cluster.services:
        service.inject_fault({"kind": "refuse", "delay": 20, "seconds": 60})
    for number in range(20):
        response = await cluster.call(0, x_call_id=f"c{number}")
        assert response.status == 503
    assert sum(service.refusals for service in cluster.services) <= len(cluster.services)
    assert read_error(response)["run_state"] == "not_run"
    assert 15 < float(response.headers["retry-after"]) <= 20
    assert not cluster.count_executions()


async def read_request(stream: trio.SocketStream) -> bool:
    """Read a whole request, as closing a connection with unread bytes resets it.

    :returns: false if the connection was closed without one.
    """
    parser = h11.Connection(h11.SERVER)
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(65536))
        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            return isinstance(event, h11.EndOfMessage)


@pytest.mark.parametrize("crashes", [True, False])
async def test_an_answer_without_a_length_is_complete_only_if_its_endpoint_lives(
    cluster: CallCluster, crashes: bool
) -> None:
    """Guards against a cut answer that looks complete, as it ends with its connection."""

    async def answer(stream: trio.SocketStream) -> None:
        if not await read_request(stream):
            return  # A probe of whether the endpoint lives.
        if crashes:
            await listeners[0].aclose()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Call-Id: c\r\n\r\nha")
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    cluster.endpoints[:] = [attrs.evolve(cluster.endpoints[0], address=address)]
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            try:
                await trio.serve_listeners(answer, listeners, handler_nursery=nursery)
            except* trio.ClosedResourceError:
                pass  # The endpoint has crashed.

        nursery.start_soon(serve)
        response = await cluster.call(0, x_call_id="c")
        nursery.cancel_scope.cancel()
    assert response.status == (502 if crashes else 200)
    assert not crashes or read_error(response)["run_state"] == "unknown"


async def test_refused_call_can_be_run_later(cluster: CallCluster) -> None:
    """Guards against a claim that remains after not_run and blocks the retry."""
    endpoints = list(cluster.endpoints)
    cluster.endpoints.clear()
    refused = await cluster.call(0, idempotency_key="k", x_call_id="c")
    assert read_error(refused)["run_state"] == "not_run"
    cluster.endpoints.extend(endpoints)
    assert (await cluster.call(1, idempotency_key="k", x_call_id="c")).status == 200
    assert cluster.count_executions() == {"c": 1}


async def test_claims_go_to_the_store_when_the_batcher_is_lost(cluster: CallCluster) -> None:
    """Guards against calls that fail without the only batcher of their domain."""
    batcher = find_batcher(cluster.directories[0])
    other = next(n for n, host in enumerate(cluster.hosts[:2]) if host.host_id != batcher)
    lost = cluster.directories[other].get(batcher)
    assert lost is not None
    unreachable = attrs.evolve(lost, peer_address=find_free_address())
    cluster.directories[other].update(unreachable, live=True)
    response = await cluster.call(other, idempotency_key="k", x_call_id="c")
    assert response.status == 200


async def test_owner_that_is_gone_answers_unknown(cluster: CallCluster) -> None:
    """Guards against a second run of a call whose owner or issuer may have sent it."""
    key = await issue_key(cluster, 2)
    cluster.services[0].inject_fault({"kind": "slow", "delay": 3})
    cluster.endpoints[:] = cluster.endpoints[:1]
    with trio.move_on_after(0.5):
        await cluster.call(2, idempotency_key="k", x_call_id="c")
    gone = cluster.hosts[2]
    directory = cluster.directories[0]
    directory.update(attrs.evolve(gone, peer_address=find_free_address()), live=False)
    for used in ("k", key):
        response = await cluster.call(0, idempotency_key=used, x_call_id="c")
        assert read_error(response)["run_state"] == "unknown"
    assert cluster.count_executions() == {"c": 1}


async def test_other_request_or_workspace_under_a_key_is_refused(cluster: CallCluster) -> None:
    """Guards against an answer that belongs to another request."""
    await cluster.call(0, idempotency_key="k", x_call_id="c")
    assert (await cluster.call(1, "/fees", idempotency_key="k")).status == 422
    forged = (await issue_key(cluster, 0))[:-1] + "x"
    assert (await cluster.call(0, idempotency_key=forged)).status == 403
    assert (await cluster.call(0, "/keys")).status == 200
    get = await cluster.call(0, "/charges", method="GET", x_call_id="get")
    assert orjson.loads(get.body)["call_id"] == "get"


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 99999999999\r\n"])
@pytest.mark.parametrize("part", ["head", "body"])
async def test_an_answer_without_end_is_given_up(
    cluster: CallCluster, part: str, framing: bytes
) -> None:
    """Guards against a faulty service that fills the memory of a daemon (LOST)."""
    sent: list[int] = []

    async def answer(stream: trio.SocketStream) -> None:
        if not await read_request(stream):
            return
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + framing)
        await stream.send_all(b"X-A: " if part == "head" else b"\r\n")
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"a" * 60000)
                sent.append(60000)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    cluster.endpoints[:] = [attrs.evolve(cluster.endpoints[0], address=address)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        response = await cluster.call(0, x_call_id="c")
        nursery.cancel_scope.cancel()
    assert response.status == 502 and read_error(response)["run_state"] == "unknown"
    assert sum(sent) < 2 * MAX_ANSWER_BYTES
