"""Tests of the platform's host list."""

import random

import orjson
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_daemon.peers.host_list import HostList
from gypsumpost_daemon.peers.host_list_parser import parse_host_list
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot

HOST = {
    "id": "h1",
    "failure_domain": "d1",
    "peer_address": "127.0.0.1:1",
    "gossip_address": "127.0.0.1:2",
    "api_address": "127.0.0.1:3",
    "status": "leaving",
}
ENGINE = {
    "name": "e1",
    "kind": "engine",
    "address": "127.0.0.1:4",
    "failure_domain": "d1",
    "status": "leaving",
    "models": [{"model": "m", "version": "2", "adapter": ""}],
    "checks_fencing": True,
}
SERVICE = {
    "name": "s1",
    "kind": "service",
    "address": "127.0.0.1:5",
    "failure_domain": "d2",
    "service": "gate",
}
BODY = orjson.dumps({"hosts": [HOST], "endpoints": [ENGINE, SERVICE]})


def test_leaving_hosts_and_endpoints_are_passed_on() -> None:
    """Guards against a parser that drops the leaving status."""
    parsed = parse_host_list(BODY)
    assert isinstance(parsed, Ok)
    snapshot = parsed.ok_value
    assert snapshot.hosts[0].leaving
    assert snapshot.endpoints[0].status is EndpointStatus.LEAVING
    assert str(snapshot.endpoints[0].models[0]) == "m:2"
    assert snapshot.endpoints[1].service == "gate"
    assert snapshot.rejected == ()


def test_malformed_entries_do_not_hide_the_others() -> None:
    """Guards against a malformed entry that stops the daemon or empties the list."""
    wrong = [{**HOST, "id": "a@b"}, {**HOST, "peer_address": "nowhere"}, 7, {}, None]
    endpoints = [{**ENGINE, "kind": "?"}, {**SERVICE, "service": 3}, ENGINE]
    parsed = parse_host_list(orjson.dumps({"hosts": [*wrong, HOST], "endpoints": endpoints}))
    assert isinstance(parsed, Ok)
    assert [listed.host.host_id for listed in parsed.ok_value.hosts] == ["h1"]
    assert [endpoint.name for endpoint in parsed.ok_value.endpoints] == ["e1"]
    assert len(parsed.ok_value.rejected) == 7
    for body in (b"", b"[]", b"{}", b'{"hosts":1,"endpoints":[]}'):
        assert isinstance(parse_host_list(body), Err)


async def test_last_list_is_kept_while_the_platform_is_down(nursery: trio.Nursery) -> None:
    """Guards against a daemon that loses its seeds when the platform fails."""
    answers = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)]
    failed = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        if answers:
            await stream.send_all(answers.pop())
        else:
            failed.set()
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    host_list = HostList(platform_address=f"127.0.0.1:{port}", rng=random.Random(1))
    received: list[HostListSnapshot] = []
    host_list.add_listener(received.append)
    nursery.start_soon(host_list.run)
    await failed.wait()
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert host_list.snapshot == received[0]
    assert len(received) == 1
    assert 0 < host_list.compute_age() < float("inf")
    assert 1.0 < host_list.compute_delay() <= 2.0
    nursery.cancel_scope.cancel()
