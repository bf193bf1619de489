"""Tests of the decoding of server-sent events."""

import orjson
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_daemon.engines import event_stream_decoder
from gypsumpost_daemon.engines.engine_event_decoder import decode_event
from gypsumpost_daemon.engines.event_stream_decoder import EventStreamDecoder

TEXTS = st.lists(st.text(max_size=8), max_size=6)
LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]


@seed(11)
@settings(max_examples=200, deadline=None, database=None)
@given(texts=TEXTS, end=LINE_ENDS, cuts=st.lists(st.integers(0, 10_000), max_size=12))
def test_events_are_the_same_however_the_bytes_are_split(texts, end, cuts):
    """Guards against events lost, joined or altered at segment boundaries."""
    payloads = [orjson.dumps({"text": text}) for text in texts]
    lines = [b": comment" + end + end]
    lines += [b"id: 7" + end + b"data: " + payload + end + end for payload in payloads]
    decoder = EventStreamDecoder()
    decoded = [event for part in split_at(b"".join(lines), cuts) for event in decoder.feed(part)]
    # A final CR may be the first half of a CRLF; the next byte shows that it was not.
    decoded += decoder.feed(b"data: [DONE]\n\n")
    assert decoded == [*payloads, b"[DONE]"]


def test_every_split_into_two_parts_gives_the_same_events():
    """Guards against a fault at one byte boundary, which random cuts may miss."""
    for end in (b"\n", b"\r\n", b"\r"):
        stream = end.join([b"data: a", b"", b": c", b"", b"data:b", b"data: c", b"", b"data: d"])
        stream += end + end
        for cut in range(len(stream) + 1):
            decoder = EventStreamDecoder()
            events = decoder.feed(stream[:cut]) + decoder.feed(stream[cut:])
            assert events + decoder.feed(b"\n") == [b"a", b"b\nc", b"d"]


def test_endless_event_is_refused(monkeypatch):
    """Guards against memory exhaustion by an event that never ends."""
    monkeypatch.setattr(event_stream_decoder, "MAX_EVENT_BYTES", 1000)
    decoder = EventStreamDecoder()
    with pytest.raises(ValueError, match="longer"):
        for _ in range(200):
            decoder.feed(b"data: xxxxxx")


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b'{"choices":[{}]}',
        b'{"error":{"message":"x"}}',
        b'{"offset":0,"choices":[{"text":3}]}',
        b'{"offset":"0","choices":[{"text":"a"}]}',
        b'{"offset":0,"choices":[{"text":"a","token_ids":"12"}]}',
        b'{"offset":0,"choices":[{"delta":null}]}',
        b'{"offset":0,"choices":[{"text":"a","token_ids":[4294967296]}]}',
        b'{"offset":0,"choices":[{"text":"a","token_ids":[-1]}]}',
        b'{"offset":0,"choices":[{"text":"a","token_ids":["1"]}]}',
        b'{"offset":0,"choices":[{"text":"a"}],"prompt_token_ids":[1.5]}',
        b'{"offset":0,"choices":[{"text":"a","finish_reason":7}]}',
    ],
)
def test_event_of_unknown_form_is_a_value_error(payload):
    """Guards against engine output that raises an exception other than ``ValueError``."""
    with pytest.raises(ValueError):
        decode_event(payload)


def test_completion_and_chat_events_are_decoded():
    """Guards against fields of an engine event that are lost in decoding."""
    completion = decode_event(
        b'{"offset":3,"prompt_token_ids":[9],"usage":{"prompt_tokens":1},'
        b'"choices":[{"text":"a","token_ids":[5,6],"finish_reason":"stop"}]}'
    )
    chat = decode_event(b'{"offset":3,"choices":[{"delta":{"content":"b"},"token_ids":[5]}]}')
    assert (completion.offset, completion.text, completion.token_ids) == (3, "a", [5, 6])
    assert (completion.prompt_token_ids, completion.finish_reason) == ([9], "stop")
    assert completion.usage == {"prompt_tokens": 1}
    assert (chat.text, chat.token_ids, chat.finish_reason, chat.done) == ("b", [5], None, False)
    assert decode_event(b"[DONE]").done
