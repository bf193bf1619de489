"""Tests of refusals under load through the callers' interface, on a simulated clock."""

from collections.abc import Iterator
from typing import Any

import attrs
import orjson
import pytest
import trio
import trio.testing

from gypsumpost_bench.engine_application import CRASH_TEXT
from gypsumpost_core.memory.memory_account import MemoryAccount
from gypsumpost_daemon.callers.caller_application import CallerApplication
from gypsumpost_daemon.callers.settings_access import SettingsAccess
from gypsumpost_daemon.callers.workspace_keys import parse_workspace_keys
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.generations.idempotency_key_client import IdempotencyKeyClient
from gypsumpost_daemon.generations.idempotency_key_directory import IdempotencyKeyDirectory
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.tests.fake_engine import MODEL
from gypsumpost_daemon.tests.running_hosts import run_hosts
from gypsumpost_daemon.tests.serving_host import ServingHost


@pytest.fixture
def clock(autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch) -> Iterator:
    monkeypatch.setattr("time.time", lambda: 1e9 + autojump_clock.current_time())
    yield autojump_clock


@attrs.define
class Reply:
    """HTTP response received by a caller."""

    status: int = 0
    headers: dict[bytes, bytes] = attrs.field(factory=dict)
    body: bytes = b""

    def get_error(self) -> dict[str, Any]:
        return orjson.loads(self.body)["error"]


async def start_application(host: ServingHost, nursery: trio.Nursery) -> CallerApplication:
    peers: Any = host.context.copies.network
    access = SettingsAccess(keys=parse_workspace_keys("north=key"))
    supervisor = GenerationSupervisor(
        host_id=host.directory.own.host_id,
        context=host.context,
        copies=CopyStore(max_bytes=1 << 20),
        take_over_client=TakeOverClient(directory=host.directory, network=peers),
        access=access,
    )
    await nursery.start(supervisor.run)
    return CallerApplication(
        settings=Settings(),
        supervisor=supervisor,
        keys=IdempotencyKeyClient(
            directory=host.directory, network=peers, own_entries=IdempotencyKeyDirectory()
        ),
        admission=host.gate,
        access=access,
        list_models=lambda: [MODEL.model],
        metrics=Metrics(),
    )


async def call(application: CallerApplication, prompt: str, replies: list[Reply]) -> None:
    reply = Reply()
    sent = {"model": MODEL.model, "prompt": prompt, "max_tokens": 60}
    messages = [{"type": "http.request", "body": orjson.dumps(sent), "more_body": False}]

    async def receive() -> dict[str, Any]:
        if not messages:
            await trio.sleep_forever()
        return messages.pop()

    async def send(message: dict[str, Any]) -> None:
        reply.status = message.get("status", reply.status)
        reply.headers |= dict(message.get("headers", ()))
        reply.body += message.get("body", b"")

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/completions",
        "query_string": b"",
        "headers": [(b"authorization", b"Bearer key")],
    }
    await application(scope, receive, send)
    replies.append(reply)


async def test_callers_of_a_flood_get_an_answer_or_a_refusal(clock: object) -> None:
    """Guards against requests that bypass the admission gate or never release their slots."""
    async with run_hosts(2, slots=3) as ([host], engines, nursery):
        application = await start_application(host, nursery)
        replies: list[Reply] = []
        for number in range(60):
            nursery.start_soon(call, application, f"report {number}", replies)
            await trio.sleep(0.05)
        # Before the first generation has ended, no request is refused because of a long queue.
        await trio.sleep(40)
        assert len(replies) == 60
        refused = [reply for reply in replies if reply.status == 503]
        answered = [reply for reply in replies if reply.status == 200]
        assert len(refused) + len(answered) == 60
        assert refused
        assert all(reply.get_error()["run_state"] == "not_run" for reply in refused)
        assert all(b"retry-after" in reply.headers for reply in refused)
        assert len(answered) == sum(len(engine.requests) for engine in engines)
        await call(application, "after the flood", replies)
        assert replies[-1].status == 200


async def test_a_quarantined_request_is_refused_with_its_reason(clock: object) -> None:
    """Guards against the run state ``not_run`` for a request that was run."""
    async with run_hosts(6) as ([host], engines, nursery):
        application = await start_application(host, nursery)
        replies: list[Reply] = []
        for run_state in ("run", "not_run"):
            await call(application, CRASH_TEXT, replies)
            assert replies[-1].status == 422
            assert replies[-1].get_error()["code"] == "request_quarantined"
            assert replies[-1].get_error()["run_state"] == run_state
        assert sum(engine.lost for engine in engines) <= 3


async def test_a_body_without_room_for_its_values_is_refused(clock: object) -> None:
    """Guards against bodies that take thirty times their bytes as objects."""
    replies: list[Reply] = []
    async with run_hosts(1) as ([host], _, nursery):
        application = await start_application(host, nursery)
        application.guard = OverloadGuard(account=MemoryAccount(bound=1 << 20))
        await call(application, "p" + "," * 100_000, replies)
    (reply,) = replies
    assert reply.status == 503
    assert reply.get_error()["code"] == "overloaded"
    assert reply.get_error()["run_state"] == "not_run"
    assert float(reply.headers[b"retry-after"]) > 0
    assert application.guard.account.total == 0
