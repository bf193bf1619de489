"""A server is slow, and a stream that may not run twice reaches its route's timeout there."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins.case import (
    HOST,
    KEY,
    CannotRun,
    Case,
    create_configuration,
    create_model_service,
    create_route,
    run_case,
)
from standins.clients import call, encode_request
from standins.servers import ModelServer

SERVERS = 8
SLOW_FACTOR = 7.5
SLOW_SECONDS = 6.5
"""The site's doses for ``srv_grey``, ``how = "slow"``; its share is 0.14, and here 0.125."""

TIMEOUT_SECONDS = 2.0
FIRST_TOKEN_SECONDS = 0.2
FIRST_EVENT_SECONDS = 0.32
STREAMS = 40
STREAMS_A_SECOND = 5
PROMISES = (408, 421, 429, 503)


async def play(case: Case) -> str:
    """Play the case and return what broke the rule."""
    begun: dict[str, str] = {}

    def write(text: str) -> None:
        case.record.write(f"server: {text}")
        words = text.split()
        if words[0] == "first-token":
            begun[words[2]] = words[1]

    servers: list[ModelServer] = []
    for number in range(SERVERS):
        server = ModelServer(
            case.new_ip(),
            instance=f"i-{number}",
            service="llm-pool",
            zone=("qc-a", "qc-b", "qc-c")[number % 3],
            write=write,
        )
        servers.append(server)
        set_speed(server, 1.0)
        await server.start()
        case.store.put(f"servers/{server.instance}", server.describe())
    # A streaming route without "resumable" counts as non_idempotent.
    route = create_route("r-1", "/lohu930/", "streaming", "llm-pool", max_attempts=2)
    route |= {"timeout_ms": round(TIMEOUT_SECONDS * 1000), "target_latency_ms": 1000}
    services = [create_model_service("llm-pool")]
    case.store.put("op/config", create_configuration([route], services))
    await case.start(["qc-a", "qc-a"])
    await asyncio.sleep(4)

    statuses: dict[str, int] = {}

    async def send(request_id: str, number: int) -> int:
        """Send one attempt and return the status of its answer."""
        request = encode_request(
            "POST",
            "/lohu930/2f",
            request_id,
            body=f"question {number}".encode(),
            Host=HOST,
            X_Model="m",
            X_Token_Counts="460,60",
            X_Prompt_Prefix=f"5c1e07a2:200,{number:08x}:260",
            X_Deadline_Ms="6000",
            Authorization=f"Bearer {KEY}",
        )
        answer = await call(case.machines[number % 2].front, request)
        statuses[request_id] = answer.status
        case.record.write(
            f"client: {request_id} got status {answer.status}, complete {answer.complete},"
            f" Retry-After {answer.headers.get('retry-after')} {answer.body[:110]!r}"
        )
        if answer.status in PROMISES:
            await asyncio.sleep(float(answer.headers.get("retry-after", "0")))
        return answer.status

    async def ask(number: int) -> None:
        """Send a request, and once more if the answer promises that it has not run."""
        if await send(f"stream-{number}", number) in PROMISES:
            await send(f"stream-{number}-again", number)

    async def slow_down() -> None:
        """Let one server work 7.5 times as long for a while; its health check stays good."""
        case.record.write(f"{servers[0].instance} is slow")
        set_speed(servers[0], SLOW_FACTOR)
        await asyncio.sleep(SLOW_SECONDS)
        set_speed(servers[0], 1.0)
        case.record.write(f"{servers[0].instance} is not slow any more")

    async with asyncio.TaskGroup() as group:
        if case.trouble:
            group.create_task(slow_down())
        for number in range(STREAMS):
            group.create_task(ask(number))
            await asyncio.sleep(1 / STREAMS_A_SECOND)

    if 200 not in statuses.values():
        raise CannotRun("no request was served")
    false = [name for name, status in statuses.items() if status in PROMISES and name in begun]
    if false:
        again = [name for name in false if f"{name}-again" in begun]
        return (
            f"REFUSED: {len(false)} requests that may not run twice were answered 503, which says"
            f" that they have not run, after a server had begun them: {false[:5]}; {len(again)} of"
            f" them were run a second time when the client trusted that and asked again"
        )
    return ""


def set_speed(server: ModelServer, slow: float) -> None:
    """Set how long a server takes for what it does from now on."""
    server.first_token_s = FIRST_TOKEN_SECONDS * slow
    server.first_s = FIRST_EVENT_SECONDS * slow
    server.pieces, server.pause_s = 10, 0.03 * slow


if __name__ == "__main__":
    run_case(__file__, play)
