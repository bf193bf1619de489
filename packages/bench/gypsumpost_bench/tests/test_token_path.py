"""Tests of the schedule, load client, fake engine and figures of the token-path experiment."""

import socket

import orjson

from gypsumpost_bench.quantiles import find_quantile
from gypsumpost_bench.token_path_client import LoadStream, TokenPathClient
from gypsumpost_bench.token_path_engine import HEAD, FakeStream
from gypsumpost_bench.token_path_plan import TokenPathPlan
from gypsumpost_bench.token_path_run import summarize
from gypsumpost_daemon.engines.engine_event_decoder import decode_event
from gypsumpost_daemon.engines.event_stream_decoder import EventStreamDecoder
from gypsumpost_daemon.http.chunk_decoder import ChunkDecoder

PLAN = TokenPathPlan(
    start=0,
    ramp_end=2,
    steady_start=3,
    steady_end=5,
    burst_start=8,
    end=10,
    streams=4,
    probes=2,
    burst=3,
)


def test_openings_are_in_order_and_complete():
    """Guards against a run that offers less load than its schedule states."""
    openings = PLAN.create_openings()
    assert openings == sorted(openings)
    kinds = [kind for _, kind in openings]
    assert kinds == ["long"] * 4 + ["probe"] * 2 + ["burst"] * 3


def test_client_counts_tokens_that_are_split_between_reads():
    """Guards against a delivered rate that misses tokens or counts them twice."""
    near, far = socket.socketpair()
    event = b'data: {"text":"100:200"}\n\n'
    for step in (1, 5, 1000):
        client = TokenPathClient(address=("", 0), plan=PLAN)
        stream = LoadStream(near, "probe", 0)
        data = event * 3 + b"data: [DONE]\n\n"
        for start in range(0, len(data), step):
            far.sendall(data[start : start + step])
            client._read(stream)
        assert (stream.tokens, stream.done) == (3, True)
    near.close()
    far.close()


def test_fake_engine_sends_what_the_daemon_decodes():
    """Guards against figures of a relay that receives only malformed events."""
    with socket.socket() as sock:
        stream = FakeStream(sock)
        body = orjson.dumps({"max_tokens": 2})
        stream.received = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        assert not stream.read_request()
        stream.received += body
        assert stream.read_request()
        sent = []
        for stream.sent in range(3):
            sent.append(stream.create_data())
    chunks = ChunkDecoder()
    content = chunks.feed(b"".join(sent).removeprefix(HEAD))
    events = [decode_event(payload) for payload in EventStreamDecoder().feed(content)]
    assert [event.offset for event in events] == [0, 1, -1]
    assert events[-1].done and chunks.ended


def test_figures_join_all_clients():
    """Guards against percentiles of one client only."""
    results = [
        {"gaps": {"steady": [1.0] * 50}, "added": {"probe": [3.0]}, "incomplete": 1},
        {"gaps": {"steady": [9.0] * 50}, "added": {"burst": [4.0]}, "incomplete": 2},
    ]
    figures = summarize(results, 0.002, 2.0)
    assert (figures.microseconds, figures.rate, figures.gap_p95) == (20.0, 50.0, 9.0)
    assert (figures.first_p95, figures.burst_first_p95, figures.incomplete) == (3.0, 4.0, 3)
    assert find_quantile(list(range(1, 101)), 0.95) == 96


def test_fake_engine_answers_load_and_cancel_calls_at_once():
    """Guards against a daemon that considers the fake engine dead."""
    for call in (b"GET /load HTTP/1.1", b"POST /v1/streams/g-1/cancel HTTP/1.1"):
        with socket.socket() as sock:
            stream = FakeStream(sock, received=call + b"\r\n\r\n")
            assert stream.read_request()
            assert stream.plain
