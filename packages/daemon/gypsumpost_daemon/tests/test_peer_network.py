"""Tests of requests between daemons."""

import socket

import trio
from result import Err, Ok, Result

from gypsumpost_core.host import Host
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.tests.silent_socket import silence

CONTACT_SECONDS = 3.0
"""Time after which hosts whose connections went silent have to meet all bounds again."""


def create_host(host_id: str) -> Host:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    return Host(host_id=host_id, failure_domain="d1", peer_address=f"127.0.0.1:{port}")


def create_network(own: Host, other: Host, key: bytes) -> PeerNetwork:
    directory = HostDirectory(own=own)
    directory.update(other, live=True)
    return PeerNetwork(directory=directory, key=key)


async def echo(request: PeerRequest) -> bytes:
    return request.host_id.encode() + b":" + request.payload


async def test_request_reaches_the_handler_with_the_proved_sender(
    nursery: trio.Nursery,
) -> None:
    """Guards against replies that are matched to the wrong request."""
    left, right = create_host("left"), create_host("right")
    client, server = create_network(left, right, b"k"), create_network(right, left, b"k")
    server.add_handler(MessageKind.TAKE_OVER, echo)
    await nursery.start(client.run)
    await nursery.start(server.run)
    replies = {}

    async def ask(text: bytes) -> None:
        deadline = trio.current_time() + 5
        replies[text] = await client.request("right", MessageKind.TAKE_OVER, text, deadline)

    async with trio.open_nursery() as asking:
        for number in range(20):
            asking.start_soon(ask, b"%d" % number)
    assert replies == {b"%d" % n: Ok(b"left:%d" % n) for n in range(20)}
    nursery.cancel_scope.cancel()


async def test_peer_with_another_key_is_refused(nursery: trio.Nursery) -> None:
    """Guards against accepting requests from a process that does not know the shared key."""
    left, right = create_host("left"), create_host("right")
    client, server = create_network(left, right, b"k"), create_network(right, left, b"other")
    await nursery.start(client.run)
    await nursery.start(server.run)
    deadline = trio.current_time() + 5
    outcome = await client.request("right", MessageKind.TAKE_OVER, b"", deadline)
    assert isinstance(outcome, Err)
    assert not outcome.err_value.sent
    nursery.cancel_scope.cancel()


async def test_a_link_that_has_gone_silent_is_replaced(nursery: trio.Nursery, monkeypatch) -> None:
    """Guards against a change that is late because it is fetched over a link that is silent.

    Seen on velostation-qc: connections went silent without a reset, and the first request on the
    link to a peer waited for its whole timeout.
    """
    opened = []
    open_tcp_stream = trio.open_tcp_stream

    async def record_stream(*args, **kwargs):
        opened.append(await open_tcp_stream(*args, **kwargs))
        return opened[-1]

    monkeypatch.setattr("trio.open_tcp_stream", record_stream)
    left, right = create_host("left"), create_host("right")
    client, server = create_network(left, right, b"k"), create_network(right, left, b"k")
    server.add_handler(MessageKind.TAKE_OVER, echo)
    await nursery.start(client.run)
    await nursery.start(server.run)

    async def ask(seconds: float) -> Result[bytes, PeerFailure]:
        deadline = trio.current_time() + seconds
        return await client.request("right", MessageKind.TAKE_OVER, b"x", deadline)

    assert await ask(5.0) == Ok(b"left:x")
    silence(opened[0].socket)
    await trio.sleep(CONTACT_SECONDS)
    assert await ask(0.5) == Ok(b"left:x")
    assert len(opened) == 2
    nursery.cancel_scope.cancel()


async def test_a_request_without_a_reply_counts_as_sent(nursery: trio.Nursery) -> None:
    """Guards against an order that is given twice because its first request counts as not sent."""
    left, right = create_host("left"), create_host("right")
    client, server = create_network(left, right, b"k"), create_network(right, left, b"k")

    async def never_reply(request: PeerRequest) -> bytes:
        await trio.sleep_forever()
        raise AssertionError("not reached")

    server.add_handler(MessageKind.TAKE_OVER, never_reply)
    await nursery.start(client.run)
    await nursery.start(server.run)
    deadline = trio.current_time() + 0.3
    outcome = await client.request("right", MessageKind.TAKE_OVER, b"", deadline)
    assert isinstance(outcome, Err)
    assert outcome.err_value.sent and outcome.err_value.reason == "no reply before the deadline"
    nursery.cancel_scope.cancel()
