"""Tests of the handshake between daemons."""

import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_daemon.peers.frame import HEADER, MAX_PAYLOAD_BYTES
from gypsumpost_daemon.peers.frame_decoder import FrameDecoder
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_handshake import MAX_LINE_BYTES, PeerHandshake


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


async def test_a_line_without_end_is_refused() -> None:
    """Guards against a process that fills the memory of a daemon before it has proved anything."""
    left, right = trio.testing.memory_stream_pair()
    outcomes = []

    async def accept() -> None:
        outcomes.append(await PeerHandshake(host_id="right", key=b"k").accept(right))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        for _ in range(3):
            await left.send_all(b"a" * MAX_LINE_BYTES)
        await left.send_eof()
    assert isinstance(outcomes[0], Err)


def test_a_frame_without_end_is_refused() -> None:
    """Guards against a peer whose frame fills the memory of a daemon."""
    header = HEADER.pack(MAX_PAYLOAD_BYTES + 1, MessageKind.REPLY, 1, 0)
    with pytest.raises(ValueError, match="exceeds the maximum"):
        FrameDecoder().feed(header)
