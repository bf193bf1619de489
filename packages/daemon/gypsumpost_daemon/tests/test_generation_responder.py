"""Tests of logs and metrics of callers that disconnect."""

from types import SimpleNamespace
from typing import Any, cast

import eliot
import trio

from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_daemon.callers.caller_events import CallerEvents
from gypsumpost_daemon.generations.generation_responder import GenerationResponder
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.telemetry.metrics_text import encode_metrics

UNUSED = cast(Any, None)


class DisconnectingCall:
    """Call whose caller disconnects during the second write."""

    def __init__(self) -> None:
        self.disconnected = trio.Event()
        self.writes = 0

    async def start(self, status: int, headers: Any) -> None:
        return

    async def write(self, body: bytes, more: bool = True) -> None:
        self.writes += 1
        if self.writes == 2:
            self.disconnected.set()
            await trio.sleep_forever()

    async def wait_disconnect(self) -> None:
        await self.disconnected.wait()


class EndlessTask:
    """Generation that returns another token on each read."""

    def __init__(self) -> None:
        self.record = GenerationRecord(
            generation_id="g1",
            workspace="north",
            request_id="leaving-request",
            kind=GenerationKind.COMPLETION,
            body=b"",
            model="summary",
            max_tokens=100,
        )
        self.holders: list[str] = []
        self.readers = 0
        self.unread_since = 0.0
        self.moved, self.failure = False, None

    async def read(self, offset: int) -> list[Piece]:
        await trio.lowlevel.checkpoint()
        return [Piece(end=offset + 1, text="a", token_ids=(7,))]


async def test_disconnect_is_recorded_with_the_offset() -> None:
    """Guards against logs without the number of tokens that a disconnected caller received."""
    metrics, task = Metrics(), EndlessTask()
    logged: list[dict[str, Any]] = []
    supervisor = GenerationSupervisor(
        host_id="h1",
        context=cast(Any, SimpleNamespace(settings=Settings())),
        copies=UNUSED,
        take_over_client=UNUSED,
        access=UNUSED,
    )
    responder = GenerationResponder(supervisor=supervisor, events=CallerEvents(metrics=metrics))
    eliot.add_destinations(logged.append)
    try:
        await responder.respond(cast(Any, DisconnectingCall()), cast(Any, task), 40, True, False)
    finally:
        eliot.remove_destination(logged.append)
    assert b'{outcome="disconnected",code=""} 1\n' in encode_metrics(metrics.list_all())
    assert task.readers == 0
    own = [event for event in logged if event.get("request_id") == "leaving-request"]
    # The write of the second token was not completed when the connection closed.
    assert [(event["message"], event["offset"]) for event in own] == [("caller: disconnected", 41)]
