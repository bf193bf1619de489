"""Tests of request bodies, readers and connections of callers outside the limits."""

import functools
from collections.abc import Iterable, Iterator

import attrs
import h11
import pytest
import trio
import trio.testing

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_account import MemoryAccount
from gypsumpost_daemon.http.decode_turns import CHUNKS_PER_TURN, CROWD
from gypsumpost_daemon.http.h11_server import serve_limited
from gypsumpost_daemon.http.http_body import HttpBody
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import HttpRefusal
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.transport import RECEIVE_BYTES
from gypsumpost_daemon.tests.http_fixtures import close_request, connect, echo, read_to_end

MEGABYTE = 1 << 20
MAX_BODY = 4 * MEGABYTE
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"


@attrs.define(kw_only=True)
class ScriptedTransport:
    """A caller that sends pieces, waits the given time before each, and then nothing more."""

    pieces: Iterator[bytes]
    pause: float = 0.0

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        await trio.sleep(self.pause)
        piece = next(self.pieces, None)
        if piece is None:
            await trio.sleep_forever()
        assert piece is not None
        return piece

    async def send(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        pass

    def close(self) -> None:
        pass


def create_body(
    head: bytes, pieces: Iterable[bytes], guard: OverloadGuard, pause: float = 0.0
) -> HttpBody:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(head)
    request = parser.next_event()
    assert isinstance(request, h11.Request)
    return HttpBody(
        transport=ScriptedTransport(pieces=iter(pieces), pause=pause),
        parser=parser,
        chunked=head == CHUNKED,
        limits=HttpLimits(max_body=MAX_BODY),
        guard=guard,
    )


def encode_length(size: int) -> bytes:
    return b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size


async def read_status(body: HttpBody) -> int:
    """Return the status of the refusal, 200 for a complete body."""
    try:
        await body.read()
    except HttpRefusal as refusal:
        assert refusal.retry_after if refusal.status == 503 else not refusal.retry_after
        return refusal.status
    return 200


async def test_other_tasks_run_while_small_chunks_are_decoded(nursery):
    """Guards against a body in chunks of one byte that holds the only thread."""
    count = 10 * CHUNKS_PER_TURN
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    nursery.start_soon(count_turns)
    body = create_body(CHUNKED, [ONE_BYTE * count + b"0\r\n\r\n"], OverloadGuard())
    assert await body.read() == b"x" * count
    assert turns >= count // CHUNKS_PER_TURN
    nursery.cancel_scope.cancel()


async def test_costly_chunks_are_refused_only_in_a_crowd():
    """Guards against a crowd of tiny chunks, and against refusing a single caller of them."""
    pieces = [ONE_BYTE * 10_000] * 4 + [b"0\r\n\r\n"]
    guard = OverloadGuard()
    assert await read_status(create_body(CHUNKED, pieces, guard)) == 200
    statuses: list[int] = []

    async def read() -> None:
        statuses.append(await read_status(create_body(CHUNKED, pieces, guard)))

    async with trio.open_nursery() as nursery:
        for _ in range(4 * CROWD):
            nursery.start_soon(read)
    assert set(statuses) == {200, 503}
    assert guard.account.list_sizes()[HeldKind.INCOMPLETE_BODY] == 0


@pytest.mark.parametrize("head", [CHUNKED, encode_length(100_000)])
async def test_a_trickled_body_gets_408(autojump_clock, head):
    """Guards against a timeout that each byte starts again."""
    piece = ONE_BYTE if head == CHUNKED else b"x"
    body = create_body(head, [piece] * 100_000, OverloadGuard(), pause=1.0)
    with trio.fail_after(30):
        assert await read_status(body) == 408


@pytest.mark.parametrize("pause", [1.0, 15.0])
async def test_a_slow_body_is_read(autojump_clock, pause):
    """Guards against refusing an honest caller that sends 10 KB and pauses."""
    body = create_body(encode_length(100_000), [b"x" * 10_000] * 10, OverloadGuard(), pause)
    assert await body.read() == b"x" * 100_000


async def test_a_stalled_body_is_refused_for_the_sake_of_another(autojump_clock, nursery):
    """Guards against complete bodies that are refused because others never end."""
    guard = OverloadGuard(account=MemoryAccount(bound=4 * MEGABYTE))
    statuses: list[int] = []

    async def stall() -> None:
        pieces = [b"x" * 65536] * 16
        statuses.append(await read_status(create_body(encode_length(MAX_BODY), pieces, guard)))

    for _ in range(3):
        nursery.start_soon(stall)
    await trio.sleep(5)
    assert not statuses
    body = create_body(encode_length(MEGABYTE), [b"y" * 65536] * 16, guard)
    assert await body.read() == b"y" * MEGABYTE
    await trio.testing.wait_all_tasks_blocked()
    assert statuses == [503]
    body.close()
    nursery.cancel_scope.cancel()


async def test_a_body_is_counted_until_its_request_is_answered():
    """Guards against memory that is held for attempts and not counted."""
    guard = OverloadGuard()
    body = create_body(encode_length(MEGABYTE), [b"y" * 65536] * 16, guard)
    await body.read()
    assert guard.account.list_sizes()[HeldKind.KEPT_BODY] == MEGABYTE
    body.close()
    assert guard.account.total == 0


@pytest.mark.parametrize(
    "pieces",
    [[b"400001\r\n"], [b"400001\r\nx"], [b"200000\r\n" + b"x" * 0x200000 + b"\r\n200001\r\nx"]],
)
async def test_an_announced_chunk_over_the_limit_is_refused_before_it_arrives(pieces):
    """Guards against reading megabytes of a chunk that is refused in the end."""
    with trio.fail_after(10):
        assert await read_status(create_body(CHUNKED, pieces, OverloadGuard())) == 413


async def test_trailers_without_end_are_refused():
    """Guards against trailers that are read for ever."""
    pieces = [b"0\r\n"] + [b"a: b\r\n" * 10_000] * 10
    with trio.fail_after(10):
        assert await read_status(create_body(CHUNKED, pieces, OverloadGuard())) == 400


async def test_an_unused_connection_is_closed_for_a_new_one(nursery):
    """Guards against silent connections that keep ordinary callers out."""
    limits = HttpLimits(max_body=1000, max_connections=2)
    serve = functools.partial(serve_limited, application=echo, address="127.0.0.1:0", limits=limits)
    running = await nursery.start(serve)
    async with await connect(running) as kept:
        await kept.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in await kept.receive_some(1000)
        async with await connect(running) as unused:
            await trio.sleep(1.1)
            async with await connect(running) as late:
                await late.send_all(close_request())
                assert b" 200 " in await read_to_end(late)
            assert await unused.receive_some(1) == b""
        await kept.send_all(close_request())
        assert b" 200 " in await read_to_end(kept)
    nursery.cancel_scope.cancel()


async def test_a_caller_that_does_not_read_is_let_go(nursery):
    """Guards against answers that wait for callers and fill the memory."""
    answer = b"x" * MEGABYTE

    async def respond(scope, receive, send):
        await receive()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(4):
            await send({"type": "http.response.body", "body": answer, "more_body": True})

    guard = OverloadGuard(account=MemoryAccount(bound=3 * MEGABYTE))
    serve = functools.partial(
        serve_limited,
        application=respond,
        address="127.0.0.1:0",
        limits=HttpLimits(max_body=1000),
        guard=guard,
    )
    running = await nursery.start(serve)
    streams = [await connect(running) for _ in range(6)]
    for stream in streams:
        await stream.send_all(close_request())
        await trio.sleep(0.05)
    held = guard.account.list_sizes()[HeldKind.UNREAD_ANSWER]
    assert MEGABYTE <= held <= 3 * MEGABYTE
    for stream in streams:
        await stream.aclose()
    nursery.cancel_scope.cancel()
