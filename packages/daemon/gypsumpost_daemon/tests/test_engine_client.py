"""Tests of calls to endpoints, with scripted endpoints on the loopback interface."""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import orjson
import pytest
import trio
from result import Err, Ok

from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.engines.engine_event import EngineEvent
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_request import EngineRequest

TRANSPORTS = pytest.mark.parametrize("transport", ["h11", "httpcore"])
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def create_event(offset: int) -> bytes:
    choice = {"text": f"t{offset} ", "token_ids": [offset], "finish_reason": None}
    return b"data: " + orjson.dumps({"offset": offset, "choices": [choice]}) + b"\n\n"


def create_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@attrs.define
class Endpoint:
    """Responds to each request with the scripted parts and records the requests."""

    parts: list[bytes]
    keep_open: bool = False
    address: str = ""
    connections: int = 0
    requests: list[bytes] = attrs.field(factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while request := await stream.receive_some(65536):
                self.requests.append(request)
                for part in self.parts:
                    await stream.send_all(part)
                    await trio.sleep(0.001)
                if not self.keep_open:
                    return


@asynccontextmanager
async def run_endpoint(endpoint: Endpoint) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, endpoint.serve, 0)
        port = next(
            one.socket.getsockname()[1] for one in listeners if one.socket.family == socket.AF_INET
        )
        endpoint.address = f"127.0.0.1:{port}"
        yield
        nursery.cancel_scope.cancel()


async def read_stream(
    transport: str, endpoint: Endpoint, check: Callable[[list[EngineEvent]], bool]
) -> tuple[list[EngineEvent], EngineFailure | None]:
    """Receive events until a failure or until ``check`` returns true."""
    client = EngineClient(transport=transport)
    deadline = trio.current_time() + 10
    opened = await client.open(endpoint.address, "/v1/completions", {"X-A": "b"}, b"{}", deadline)
    assert isinstance(opened, Ok), opened
    events: list[EngineEvent] = []
    failure = None
    with trio.fail_after(10):
        while failure is None and not check(events):
            received = await opened.ok_value.receive()
            if isinstance(received, Err):
                failure = received.err_value
            else:
                events += received.ok_value
    await opened.ok_value.aclose()
    await client.aclose()
    return events, failure


@TRANSPORTS
@pytest.mark.parametrize("step", [1, 7, 10_000])
async def test_events_arrive_whole_however_the_bytes_are_split(transport, step):
    """Guards against tokens lost or repeated at segment and chunk boundaries."""
    body = b"".join(create_event(n) for n in range(12)) + b"data: [DONE]\n\n"
    chunks = b"".join(create_chunk(body[n : n + 50]) for n in range(0, len(body), 50))
    data = STREAM_HEAD + chunks + b"0\r\n\r\n"
    endpoint = Endpoint([data[n : n + step] for n in range(0, len(data), step)])
    async with run_endpoint(endpoint):
        events, failure = await read_stream(
            transport, endpoint, lambda seen: bool(seen) and seen[-1].done
        )
    assert failure is None
    assert [event.offset for event in events] == [*range(12), -1]
    assert "".join(event.text for event in events) == "".join(f"t{n} " for n in range(12))
    assert b"x-a: b" in endpoint.requests[0].lower()


@TRANSPORTS
@pytest.mark.parametrize(
    "tail", [b"", b"4\r\nda", b"0\r\n\r\n", b"zz\r\n", b"5;x\r\nabcdefg\r\n", b"-1\r\n"]
)
async def test_stream_that_ends_without_done_is_a_failure(transport, tail):
    """Guards against treating the output of a lost engine as complete."""
    endpoint = Endpoint([STREAM_HEAD + create_chunk(create_event(0)), tail])
    async with run_endpoint(endpoint):
        events, failure = await read_stream(transport, endpoint, lambda seen: False)
    assert [event.offset for event in events] == [0]
    assert failure is not None and failure.may_have_run


@TRANSPORTS
@pytest.mark.parametrize(("status", "may_have_run"), [(503, False), (400, False), (500, True)])
async def test_refusal_carries_status_and_body(transport, status, may_have_run):
    """Guards against treating a refusal as a lost engine."""
    endpoint = Endpoint([b"HTTP/1.1 %d No\r\nContent-Length: 4\r\n\r\nbusy" % status])
    async with run_endpoint(endpoint):
        client = EngineClient(transport=transport)
        deadline = trio.current_time() + 10
        opened = await client.open(endpoint.address, "/", {}, b"{}", deadline)
    failure = opened.unwrap_err()
    assert (failure.status, failure.body, failure.may_have_run) == (status, b"busy", may_have_run)


@TRANSPORTS
async def test_refused_connection_means_not_run(transport):
    """Guards against run state ``unknown`` for a request that was never sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    client = EngineClient(transport=transport)
    opened = await client.open(f"127.0.0.1:{port}", "/", {}, b"{}", trio.current_time() + 10)
    assert not opened.unwrap_err().may_have_run


@TRANSPORTS
async def test_close_before_the_response_means_may_have_run(transport):
    """Guards against run state ``not_run`` for a request that the engine has received."""
    endpoint = Endpoint([])
    async with run_endpoint(endpoint):
        client = EngineClient(transport=transport)
        deadline = trio.current_time() + 10
        opened = await client.open(endpoint.address, "/", {}, b"{}", deadline)
    assert opened.unwrap_err().may_have_run


@TRANSPORTS
async def test_silent_engine_is_given_up_at_the_deadline(transport):
    """Guards against an endless wait for an engine that does not respond."""
    endpoint = Endpoint([], keep_open=True)
    async with run_endpoint(endpoint):
        client = EngineClient(transport=transport)
        with trio.fail_after(10):
            deadline = trio.current_time() + 0.1
            opened = await client.open(endpoint.address, "/", {}, b"{}", deadline)
    assert opened.unwrap_err().may_have_run


async def test_cancelled_receive_loses_no_event():
    """Guards against tokens lost when a timeout cancels a receive."""
    parts = [STREAM_HEAD] + [create_chunk(create_event(n)) for n in range(20)]
    endpoint = Endpoint([*parts, create_chunk(b"data: [DONE]\n\n")])
    offsets: list[int] = []
    async with run_endpoint(endpoint):
        deadline = trio.current_time() + 10
        client = EngineClient()
        opened = await client.open(endpoint.address, "/", {}, b"{}", deadline)
        stream = opened.unwrap()
        while offsets[-1:] != [-1]:
            with trio.move_on_after(0.0005):
                received = await stream.receive()
                offsets += [event.offset for event in received.unwrap()]
        await stream.aclose()
    assert offsets == [*range(20), -1]


LOAD = b'{"running":3}'


@TRANSPORTS
@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + LOAD,
        STREAM_HEAD + create_chunk(LOAD) + b"0\r\n\r\n",
    ],
)
async def test_short_calls_share_a_connection(transport, answer):
    """Guards against a new connection for each load report."""
    endpoint = Endpoint([answer], keep_open=True)
    async with run_endpoint(endpoint):
        client = EngineClient(transport=transport)
        for _ in range(3):
            deadline = trio.current_time() + 10
            load = await client.get_json(endpoint.address, "/load", deadline)
            assert load == Ok({"running": 3})
        await client.aclose()
    assert endpoint.connections == 1


@TRANSPORTS
@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)])
async def test_response_without_body_ends_at_its_headers(transport, method, status):
    """Guards against waiting for the body of a response that never has one."""
    head = b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n" % status
    endpoint = Endpoint([head], keep_open=True)
    async with run_endpoint(endpoint):
        client = EngineClient(transport=transport)
        deadline = trio.current_time() + 10
        request = EngineRequest(
            address=endpoint.address, method=method, path="/", deadline=deadline
        )
        answer = await client.call(request)
        await client.aclose()
    assert (answer.unwrap().status, answer.unwrap().body) == (status, b"")


async def test_closed_idle_connection_is_replaced():
    """Guards against a failed call after an endpoint has closed an idle connection."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    endpoint = Endpoint([answer], keep_open=False)
    async with run_endpoint(endpoint):
        client = EngineClient()
        for _ in range(3):
            deadline = trio.current_time() + 10
            assert await client.get_json(endpoint.address, "/load", deadline) == Ok({})
        assert await client.post_json(endpoint.address, "/orders", {"a": 1}, deadline) == Ok({})
        await client.aclose()
    assert endpoint.requests[-1].endswith(b'{"a":1}')


@pytest.mark.parametrize("path", ["/a b", "/\r\nX: y", "/ä"])
async def test_invalid_path_is_a_failure_before_sending(path):
    """Guards against header injection through text supplied by a caller."""
    endpoint = Endpoint([], keep_open=True)
    async with run_endpoint(endpoint):
        deadline = trio.current_time() + 10
        opened = await EngineClient().open(endpoint.address, path, {}, None, deadline)
    assert not opened.unwrap_err().may_have_run
    assert endpoint.requests == []
