"""Tests of requests between daemons."""

import socket

import trio
from result import Err, Ok

from gypsumpost_core.host import Host
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest


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
