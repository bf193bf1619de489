"""Tests of the HTTP servers at their sockets."""

import random

import h11
import pytest
import trio

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_daemon.tests.http_fixtures import (
    MAX_BODY,
    close_request,
    connect,
    echo,
    exchange,
    read_to_end,
    run_server,
)

both_servers = pytest.mark.parametrize("server", ["h11", "hypercorn"])


@both_servers
async def test_body_reaches_the_application_and_the_answer_the_caller(server):
    """Guards against lost or altered bodies."""
    async with run_server(server, echo) as running:
        head = (
            b"POST /a%20b?q=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\n\r\n"
        )
        answer = await exchange(running, head + b"hello")
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"POST /a b hello")


@both_servers
@pytest.mark.parametrize("chunked", [False, True])
async def test_over_long_body_is_refused_with_413(server, chunked):
    """Guards against a body that fills the memory."""
    size = MAX_BODY + 1
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size) if chunked else b"x" * size
    async with run_server(server, echo) as running:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + framing + b"\r\n\r\n"
        answer = await exchange(running, head + body)
        assert answer.startswith(b"HTTP/1.1 413")
        assert b'"run_state":"not_run"' in answer
        assert b" 200 " in await exchange(running, close_request())


MALFORMED = [
    b"\r\n\r\n\r\n\x00\x01\x02\r\n\r\n",
    b"GET\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nbad header\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
]


@pytest.mark.parametrize("request_bytes", MALFORMED)
async def test_malformed_request_gets_400_and_closes(request_bytes):
    """Guards against requests that stop the server or leave a connection open."""
    async with run_server("h11", echo) as running:
        answer = await exchange(running, request_bytes)
        assert answer.startswith(b"HTTP/1.1 400")
        assert b" 200 " in await exchange(running, close_request())


async def test_unsupported_version_gets_505():
    """Guards against a connection that stays open for an unsupported protocol version."""
    async with run_server("h11", echo) as running:
        answer = await exchange(running, b"GET / HTTP/9.9\r\nHost: x\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 505")


async def test_over_long_headers_get_431():
    """Guards against headers that fill the memory."""
    async with run_server("h11", echo) as running:
        request = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 200_000 + b"\r\n\r\n"
        assert (await exchange(running, request)).startswith(b"HTTP/1.1 431")
        assert b" 200 " in await exchange(running, close_request())


async def test_random_bytes_do_not_stop_the_server():
    """Guards against input that raises an exception no handler expects."""
    rng = random.Random(7)
    starts = [b"", b"GET ", b"GET / HTTP/1.1\r\nHost: x\r\n", *MALFORMED]
    async with run_server("h11", echo) as running:
        for _ in range(60):
            noise = rng.choice(starts) + rng.randbytes(rng.randrange(200))
            await exchange(running, noise + b"\r\n\r\n" + close_request())
        assert b" 200 " in await exchange(running, close_request())


async def test_pipelined_requests_are_answered_in_order():
    """Guards against input lost between two requests of one connection."""
    post = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nb%d"
    requests = b"".join(post % (n, n) for n in range(5)) + close_request("/last")
    async with run_server("h11", echo) as running:
        answer = await exchange(running, requests)
    parser = h11.Connection(h11.CLIENT)
    bodies: list[bytes] = []
    for _ in range(6):
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        if not bodies:
            parser.receive_data(answer)
        assert isinstance(parser.next_event(), h11.Response)
        data = parser.next_event()
        assert isinstance(data, h11.Data)
        bodies.append(bytes(data.data))
        assert isinstance(parser.next_event(), h11.EndOfMessage)
        if len(bodies) < 6:
            parser.start_next_cycle()
    assert bodies == [b"POST /%d b%d" % (n, n) for n in range(5)] + [b"GET /last "]


@pytest.mark.parametrize("together", [False, True])
async def test_chunked_requests_follow_each_other(together):
    """Guards against input that is lost, or taken for the end, after a chunked body."""
    head = b"POST /%d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    requests = [head % n + b"2\r\nab\r\n1;x\r\nc\r\n0\r\nT: t\r\n\r\n" for n in range(4)]
    async with run_server("h11", echo) as running, await connect(running) as stream:
        received = b""
        with trio.fail_after(10):
            for data in [b"".join(requests)] if together else requests:
                await stream.send_all(data)
                while received.count(b" abc") < (4 if together else requests.index(data) + 1):
                    received += await stream.receive_some(65536)
    assert [b"POST /%d abc" % n in received for n in range(4)] == [True] * 4


async def test_request_split_at_every_byte_is_read():
    """Guards against a parser that needs a whole line in one segment."""
    request = b"POST /p HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
    async with run_server("h11", echo) as running, await connect(running) as stream:
        for position in range(len(request)):
            await stream.send_all(request[position : position + 1])
            await trio.sleep(0)
        assert (await read_to_end(stream)).endswith(b"POST /p abc")


async def test_expect_100_continue_is_answered_before_the_body():
    """Guards against callers that wait forever for the interim response."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
    async with run_server("h11", echo) as running, await connect(running) as stream:
        await stream.send_all(head + b"Connection: close\r\n\r\n")
        with trio.fail_after(10):
            assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 100")
        await stream.send_all(b"ok")
        assert (await read_to_end(stream)).endswith(b"POST / ok")


@pytest.mark.parametrize("begun", [False, True])
async def test_failing_application_does_not_stop_the_server(begun):
    """Guards against an error in one request that ends all others, and against a truncated answer
    that looks complete."""

    async def fail(scope, receive, send):
        if begun:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"part", "more_body": True})
        raise RuntimeError("fault")

    async with run_server("h11", fail) as running:
        for _ in range(2):
            answer = await exchange(running, close_request())
            assert (b" 200 " if begun else b" 500 ") in answer
            assert not (begun and answer.endswith(b"0\r\n\r\n"))


async def test_broken_invariant_stops_the_server():
    """Guards against a process that keeps running after a broken invariant."""

    async def break_invariant(scope, receive, send):
        raise BrokenInvariant("whole-answer", "token 3 twice")

    with pytest.raises(ExceptionGroup) as raised:
        async with run_server("h11", break_invariant) as running:
            await exchange(running, close_request())
            await trio.sleep(10)
    assert raised.group_contains(BrokenInvariant)


async def test_head_request_gets_no_body():
    """Guards against a body that a keep-alive caller would parse as the next response."""
    request = b"HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    async with run_server("h11", echo) as running:
        answer = await exchange(running, request)
    assert answer.endswith(b"\r\n\r\n")
    assert b"content-length: 7" in answer.lower()
