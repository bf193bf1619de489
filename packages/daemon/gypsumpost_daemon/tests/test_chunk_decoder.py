"""Tests of the decoder of chunked messages, against h11 as the reference."""

import h11
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_daemon.http.chunk_decoder import ChunkDecoder

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode(pieces: list[bytes]) -> bytes:
    chunks = [b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece]
    return b"".join(chunks) + b"0\r\nTrailer: a\r\n\r\n"


def decode(parts: list[bytes]) -> tuple[bytes, bool]:
    decoder = ChunkDecoder()
    content = b"".join([decoder.feed(part) for part in parts])
    return content, decoder.ended


def decode_with_h11(data: bytes) -> tuple[bytes, bool]:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(RESPONSE_HEAD + data)
    content = b""
    while (event := parser.next_event()) is not h11.NEED_DATA:
        if isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage):
            return content, True
    return content, False


@seed(13)
@settings(max_examples=200, deadline=None, database=None)
@given(pieces=st.lists(st.binary(max_size=20), max_size=5), step=st.integers(1, 9))
def test_content_is_the_same_however_the_bytes_are_split(pieces, step):
    """Guards against content lost or repeated at segment boundaries."""
    data = encode(pieces)
    parts = [data[n : n + step] for n in range(0, len(data), step)]
    assert decode(parts) == (b"".join(pieces), True) == decode_with_h11(data)
    for cut in range(len(data) + 1):
        assert decode([part for part in (data[:cut], data[cut:]) if part]) == decode([data])


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"-1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1_0\r\n",
        b"\r\n",
        b"2\r\nabc\r\n",
        b" 1\r\na\r\n",
    ]
    + [b"1" * 17 + b"\r\n", b"1;" + b"a" * 10_000, b"1\na\r\n", b"0\r\n\r\nmore"],
)
def test_malformed_chunks_are_refused(data):
    """Guards against reading one event's bytes as the size of the next chunk."""
    for parts in ([data], [data[n : n + 1] for n in range(len(data))]):
        with pytest.raises(ValueError):
            decode(parts)


@pytest.mark.parametrize(
    "data", [b"", b"5", b"5\r", b"5\r\nab", b"2\r\nab", b"2\r\nab\r", b"0\r\n"]
)
def test_truncated_message_has_not_ended(data):
    """Guards against a lost connection that looks like a complete message."""
    assert decode([data])[1] is False
