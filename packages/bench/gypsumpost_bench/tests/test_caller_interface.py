"""Tests of the caller interface with a complete daemon and an engine in this process."""

import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpcore
import orjson
import pytest
import trio

from gypsumpost_bench.engine_application import EngineApplication
from gypsumpost_bench.engine_batch import EngineBatch, EngineSpeed
from gypsumpost_bench.ports import reserve_addresses
from gypsumpost_bench.prefix_cache import PrefixCache
from gypsumpost_bench.stand_in_http import serve_application
from gypsumpost_cli.token_chain import find_chain_error
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.callers.workspace_keys import parse_workspace_keys
from gypsumpost_daemon.daemon import Daemon
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.settings import Settings

MAX_BODY = 4096
BODY: dict[str, Any] = {
    "model": "summary",
    "prompt": "Summarise.",
    "max_tokens": 40,
    "seed": 1,
    "ignore_eos": True,
    "return_token_ids": True,
}


class Caller:
    """Sends requests to the daemon of a test."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool()

    async def send(
        self, method: str, path: str, content: bytes = b"", key: str = "k1", **headers: str
    ) -> httpcore.Response:
        pairs = [("Host", "test"), ("Authorization", f"Bearer {key}")]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        url = f"http://{self._address}{path}"
        return await self._pool.request(method, url, headers=pairs, content=content)

    async def complete(self, body: dict[str, Any], **headers: str) -> httpcore.Response:
        return await self.send("POST", "/v1/completions", orjson.dumps(body), **headers)


@asynccontextmanager
async def open_caller() -> AsyncIterator[Caller]:
    engine_address, api, peer, gossip = reserve_addresses(4)
    batch = EngineBatch(speed=EngineSpeed(token_gap=0.002), cache=PrefixCache(capacity=64))
    model = {"model": "summary", "version": "1", "adapter": ""}
    engine = EngineApplication(
        name="e1", batch=batch, models=[model], load_lag=0.0, checks_fencing=False
    )
    endpoint = Endpoint(
        name="e1",
        kind=EndpointKind.ENGINE,
        address=engine_address,
        failure_domain="d1",
        models=(ModelRef(model="summary"),),
    )
    settings = Settings(
        host_id="h1",
        failure_domain="d1",
        api_address=api,
        peer_address=peer,
        gossip_address=gossip,
        host_list_file=HostListSnapshot(endpoints=(endpoint,)),
        workspace_keys=parse_workspace_keys("w1=k1,w2=k2"),
        max_body=MAX_BODY,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(batch.run)
        nursery.start_soon(functools.partial(serve_application, engine, engine_address))
        nursery.start_soon(Daemon(settings=settings).run)
        caller = Caller(api)
        await wait_until_ready(caller)
        yield caller
        nursery.cancel_scope.cancel()


async def wait_until_ready(caller: Caller) -> None:
    with trio.fail_after(20):
        while True:
            try:
                if (await caller.complete(BODY | {"max_tokens": 1})).status == 200:
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            await trio.sleep(0.02)


def read_error(response: httpcore.Response) -> tuple[int, str, str]:
    error = orjson.loads(response.content)["error"]
    return response.status, error["code"], error["run_state"]


def read_events(response: httpcore.Response) -> list[tuple[str, dict[str, Any]]]:
    events = []
    for block in response.content.split(b"\n\n"):
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if line)
        if fields and fields[b"data"] != b"[DONE]":
            events.append((fields[b"id"].decode(), orjson.loads(fields[b"data"])))
    return events


async def test_faulty_requests_are_refused_with_their_run_state() -> None:
    """Guards against a daemon that runs or drops an invalid request, or is stopped by it."""
    async with open_caller() as caller:
        broken = await caller.send("POST", "/v1/completions", b"{")
        assert read_error(broken) == (400, "invalid_json", "not_run")
        unknown = await caller.complete(BODY | {"model": "other"})
        assert read_error(unknown) == (404, "model_not_found", "not_run")
        long = await caller.complete(BODY | {"prompt": "x" * MAX_BODY})
        assert long.status == 413
        foreign = await caller.complete(BODY, key="wrong")
        assert read_error(foreign) == (401, "invalid_api_key", "not_run")
        late = await caller.complete(BODY, X_Request_Deadline="nan")
        assert read_error(late) == (400, "invalid_deadline", "not_run")
        event = await caller.complete(BODY, Last_Event_ID="not an id")
        assert read_error(event) == (400, "invalid_event_id", "not_run")
        assert (await caller.complete(BODY)).status == 200


async def test_whole_answer_is_one_chain_with_its_usage() -> None:
    """Guards against an unstreamed answer that differs from the streamed one."""
    async with open_caller() as caller:
        answer = orjson.loads((await caller.complete(BODY)).content)
        tokens = answer["choices"][0]["token_ids"]
        assert find_chain_error(answer["prompt_token_ids"], tokens) is None
        assert answer["usage"]["completion_tokens"] == len(tokens) == 40


async def test_repeated_key_gives_the_same_answer_and_refuses_another_body() -> None:
    """Guards against a second generation for a retried request."""
    async with open_caller() as caller:
        first = orjson.loads((await caller.complete(BODY, Idempotency_Key="a")).content)
        again = orjson.loads((await caller.complete(BODY, Idempotency_Key="a")).content)
        assert again == first
        other = await caller.complete(BODY | {"prompt": "Other."}, Idempotency_Key="a")
        assert read_error(other) == (422, "idempotency_key_reused", "not_run")
        elsewhere = await caller.complete(BODY, key="k2", Idempotency_Key="a")
        assert orjson.loads(elsewhere.content)["id"] != first["id"]


@pytest.mark.parametrize("position", [0, 7, 25])
async def test_resumed_stream_goes_on_after_the_last_event(position: int) -> None:
    """Guards against a missing or repeated token after a reconnect."""
    async with open_caller() as caller:
        events = read_events(await caller.complete(BODY | {"stream": True}))
        last_id = events[position][0]
        path = f"/v1/generations/{last_id.partition(':')[0]}"
        resumed = read_events(await caller.send("GET", path, Last_Event_ID=last_id))
        sent = [event for _, event in events[: position + 1] + resumed]
        tokens = [t for event in sent for t in event["choices"][0]["token_ids"]]
        assert len(tokens) == 40
        assert find_chain_error(events[0][1]["prompt_token_ids"], tokens) is None


async def test_other_workspace_can_neither_read_nor_cancel() -> None:
    """Guards against an answer that leaks to another workspace."""
    async with open_caller() as caller:
        first_id = read_events(await caller.complete(BODY | {"stream": True}))[0][0]
        path = f"/v1/generations/{first_id.partition(':')[0]}"
        read = await caller.send("GET", path, key="k2", Last_Event_ID=first_id)
        assert read_error(read) == (404, "generation_not_found", "unknown")
        assert (await caller.send("DELETE", path, key="k2")).status == 404
        assert (await caller.send("GET", path, Last_Event_ID=first_id)).status == 200
        assert (await caller.send("DELETE", path)).status == 204
        assert (await caller.send("GET", path, Last_Event_ID=first_id)).status == 404


async def test_offset_that_was_never_sent_is_refused() -> None:
    """Guards against a stream that resumes within a character or beyond the end of the answer."""
    async with open_caller() as caller:
        events = read_events(await caller.complete(BODY | {"stream": True}))
        generation_id = events[0][0].partition(":")[0]
        sent = {int(event_id.partition(":")[2]) for event_id, _ in events}
        for offset in {*range(1, 40), 41, 1000} - sent:
            refused = await caller.send(
                "GET", f"/v1/generations/{generation_id}", Last_Event_ID=f"{generation_id}:{offset}"
            )
            assert read_error(refused)[:2] == (400, "invalid_event_id")
