"""Tests of the handshake between daemons."""

import trio
import trio.testing
from result import Ok

from gypsumpost_daemon.peers.peer_handshake import PeerHandshake


async def test_frames_that_follow_the_handshake_at_once_are_not_lost() -> None:
    """Guards against an accepting side that reads the first frames as part of the last line."""
    left, right = trio.testing.memory_stream_pair()
    accepted = []

    async def accept() -> None:
        accepted.append(await PeerHandshake(host_id="right", key=b"k").accept(right))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        assert isinstance(await PeerHandshake(host_id="left", key=b"k").connect(left, "right"), Ok)
        await left.send_all(b"frame")
    assert accepted == [Ok("left")]
    assert await right.receive_some(5) == b"frame"
