"""Tests of crowds of clients outside the limits, on the interface of docs/callers.md (issue 41).

The daemon runs as a process of its own. Each test checks that it lives, stays within the memory and
descriptors of its settings, and answers one ordinary request while the crowd is connected and one
after it has gone.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from itertools import chain

import orjson
import pytest
import trio

from gypsumpost_bench.deployment import Deployment
from gypsumpost_bench.deployment_lists import KEYS
from gypsumpost_bench.deployment_plan import DeploymentPlan
from gypsumpost_bench.running_process import RunningProcess
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.tests.body_pieces import LAST_CHUNK, split_body, split_chunks
from gypsumpost_daemon.tests.crowd import Pieces, open_crowd
from gypsumpost_daemon.tests.process_peaks import MEBIBYTE, ProcessPeaks

MEMORY_MB = 128
"""A daemon without requests has about 60 MB."""

MAX_FDS = 400
MAX_BODY_BYTES = MEBIBYTE
BODY_CLIENTS = 120
"""Bodies of the greatest length from so many clients are more than MEMORY_MB less 60 MB."""

KEPT_BYTES = 4 * MEBIBYTE
"""Bound on the generations that the daemon keeps for others and for callers that reconnect."""

HANG_SECONDS = 60.0
REPEAT_SECONDS = 0.1
ORDINARY = orjson.dumps(
    {"model": "summary", "prompt": "p", "max_tokens": 3, "seed": 1, "ignore_eos": True}
)


def encode_head(length: int | None) -> bytes:
    """Return the head of a completion request.

    :param length: length of its body, ``None`` for a body in chunks.
    """
    body = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    key = next(iter(KEYS.values()))
    lines = ["POST /v1/completions HTTP/1.1", "Host: test", f"Authorization: Bearer {key}", body]
    return "\r\n".join([*lines, "", ""]).encode()


def send_chunked(*, size: int, chunk_bytes: int) -> Iterator[bytes]:
    return chain([encode_head(None)], split_chunks(b"b" * size, chunk_bytes))


def send_announced(*, announced: int, sent: int) -> Iterator[bytes]:
    return chain([encode_head(announced)], split_body(sent))


async def count_tiny_chunks(address: str, served: list[bytes]) -> None:
    """Send one body after the other in chunks of one byte, and record those that are served."""
    body = b"".join(split_chunks(ORDINARY.ljust(10_000), 1)) + LAST_CHUNK
    while True:
        with suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(*split_address(address)) as stream:
                await stream.send_all(encode_head(None) + body)
                answer = await stream.receive_some()
                if b" 200 " in answer:
                    served.append(answer)
        await trio.sleep(0)


async def send_ordinary_request(daemon: RunningProcess) -> None:
    """Send a small request, again after a refusal, until it is answered with 200."""
    answer = b"none"
    with trio.move_on_after(HANG_SECONDS):
        while b" 200 " not in answer:
            assert daemon.process.poll() is None, "the process has ended"
            try:
                stream = await trio.open_tcp_stream(*split_address(daemon.address))
                async with stream:
                    await stream.send_all(encode_head(len(ORDINARY)) + ORDINARY)
                    answer = await stream.receive_some() or b"closed"
            except (OSError, trio.BrokenResourceError) as error:
                answer = repr(error).encode()
            if b" 200 " not in answer:
                await trio.sleep(REPEAT_SECONDS)
    assert b" 200 " in answer, f"no answer to an ordinary request; the last one: {answer!r}"


@asynccontextmanager
async def run_daemon(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[RunningProcess]:
    """Run a daemon with an engine, on a machine with the memory and descriptors of this test."""
    monkeypatch.setenv("GYPSUMPOST_MEMORY_MB", str(MEMORY_MB))
    monkeypatch.setenv("GYPSUMPOST_MAX_DESCRIPTORS", str(MAX_FDS))
    plan = DeploymentPlan(
        domains=("d1",),
        token_gaps=(0.002,),
        services=0,
        platform=False,
        daemon_flags=(
            *("--max-body", str(MAX_BODY_BYTES)),
            *("--held-bytes", str(KEPT_BYTES)),
            *("--replay-bytes", str(KEPT_BYTES)),
        ),
    )
    async with Deployment(plan=plan) as deployment:
        (daemon,) = deployment.daemons.values()
        await send_ordinary_request(daemon)
        yield daemon


async def check_crowd(daemon: RunningProcess, size: int, pieces: Pieces) -> None:
    """Let a crowd connect and go; check the daemon, and that it answers others meanwhile."""
    peaks = ProcessPeaks(process_id=daemon.process.pid)
    async with open_crowd(size, address=daemon.address, pieces=pieces) as crowd:
        await send_ordinary_request(daemon)
        await crowd.settle()
        await send_ordinary_request(daemon)
        peaks.sample_descriptors()
    await send_ordinary_request(daemon)
    peaks.check(MEMORY_MB, MAX_FDS)


async def test_chunked_bodies_left_open_in_large_chunks(monkeypatch):
    """Guards against a bound on each unfinished body and none on all of them."""
    pieces = partial(send_chunked, size=MAX_BODY_BYTES - 1024, chunk_bytes=65536)
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, BODY_CLIENTS, pieces)


async def test_bodies_with_a_length_left_open_one_part_short(monkeypatch):
    """Guards against a bound on each announced body and none on all of them."""
    pieces = partial(send_announced, announced=MAX_BODY_BYTES, sent=MAX_BODY_BYTES - 1024)
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, BODY_CLIENTS, pieces)


async def test_chunked_bodies_that_grow_past_the_limit(monkeypatch):
    """Guards against bodies that are held until they are over the limit, many at once."""
    pieces = partial(send_chunked, size=4 * MAX_BODY_BYTES, chunk_bytes=65536)
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, BODY_CLIENTS, pieces)


async def test_open_bodies_beyond_the_descriptors(monkeypatch):
    """Guards against clients that take the descriptors of engines, peers and the store."""
    pieces = partial(send_announced, announced=100, sent=50)
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, 300, pieces)


async def test_bodies_that_grow_when_they_are_parsed(monkeypatch):
    """Guards against bodies that are counted by their bytes, and take thirty times as objects."""
    fields = ORDINARY[:-1] + b',"user":[' + b",".join([b"[]"] * 300_000) + b"]}"
    request = encode_head(len(fields)) + fields
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, 100, lambda: iter([request]))


async def test_chunks_of_one_byte_left_open(monkeypatch):
    """Guards against a process that does not answer others any more for the chunks it decodes."""
    pieces = partial(send_chunked, size=120_000, chunk_bytes=1)
    async with run_daemon(monkeypatch) as daemon:
        await check_crowd(daemon, 30, pieces)


async def test_ordinary_requests_overtake_bodies_in_chunks_of_one_byte(monkeypatch):
    """Guards against a decoder that holds the only thread for as many chunks as have arrived.

    While one ordinary request is under way, a client of the crowd gets less than half a body
    decoded, on average, if decoding yields after some hundred chunks; it may be refused as well.
    """
    clients, requests = 40, 5
    served: list[bytes] = []
    async with run_daemon(monkeypatch) as daemon, trio.open_nursery() as nursery:
        for _ in range(clients):
            nursery.start_soon(count_tiny_chunks, daemon.address, served)
        await trio.sleep(0.5)  # Lets the crowd fill the buffers of its connections.
        before = len(served)
        for _ in range(requests):
            await send_ordinary_request(daemon)
        decoded = len(served) - before
        nursery.cancel_scope.cancel()
    assert decoded < clients * requests / 2, f"{decoded} bodies"


async def test_a_body_of_the_greatest_length_is_read(monkeypatch):
    """Guards against bounds on all bodies together that a single one exceeds."""
    request = orjson.loads(ORDINARY) | {"user": ""}
    request["user"] = "u" * (MAX_BODY_BYTES - len(orjson.dumps(request)))
    body = orjson.dumps(request)
    assert len(body) == MAX_BODY_BYTES
    async with run_daemon(monkeypatch) as daemon:
        for head, pieces in (
            (encode_head(len(body)), [body]),
            (encode_head(None), [*split_chunks(body, 64), LAST_CHUNK]),
        ):
            stream = await trio.open_tcp_stream(*split_address(daemon.address))
            with trio.fail_after(HANG_SECONDS):
                async with stream:
                    await stream.send_all(head + b"".join(pieces))
                    assert b" 200 " in await stream.receive_some()
