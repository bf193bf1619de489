"""While the store is down, a server's address goes to a server of another service."""

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

REUSE_SECONDS = 2.5
"""The pages' ``reuse_after_s`` is 2."""

OUTAGE_SECONDS = 8.0
"""The longest outage of the store on the site's days."""

CLAIMS_SERVERS = 7
"""One of seven is a share of 0.143; the default of ``replace_with_reuse`` is 0.15."""

TRAFFIC_SECONDS = 12.0
STREAMS_A_SECOND = 6


async def play(case: Case) -> str:
    """Play the case and return what broke the rule."""
    runs: list[tuple[str, str, str]] = []

    def write(text: str) -> None:
        case.record.write(f"server: {text}")
        words = text.split()
        if words[0] == "runs":
            runs.append((words[1], words[2], words[3]))

    async def create_server(instance: str, service: str, zone: str) -> ModelServer:
        server = ModelServer(
            case.new_ip(), instance=instance, service=service, zone=zone, write=write
        )
        server.pieces, server.pause_s = 10, 0.05
        return server

    async def add_server(instance: str, service: str, zone: str) -> ModelServer:
        server = await create_server(instance, service, zone)
        await server.start()
        case.store.put(f"servers/{instance}", server.describe())
        return server

    gone = await add_server("i-claims-1", "claims", "qc-a")
    for number in range(2, CLAIMS_SERVERS + 1):
        await add_server(f"i-claims-{number}", "claims", ("qc-a", "qc-b", "qc-c")[number % 3])
    await add_server("i-support-1", "support", "qc-a")
    routes = [
        create_route("r-claims", "/claims/", "streaming", "claims", resumable=True),
        create_route("r-support", "/support/", "streaming", "support", resumable=True),
    ]
    services = [create_model_service("claims"), create_model_service("support")]
    case.store.put("op/config", create_configuration(routes, services))
    await case.start(["qc-a", "qc-a"])
    await asyncio.sleep(4)

    async def stream(number: int) -> None:
        request = encode_request(
            "POST",
            "/claims/2f",
            f"claims-{number}",
            body=f"question {number}".encode(),
            Host=HOST,
            X_Model="m",
            X_Token_Counts="460,60",
            X_Prompt_Prefix=f"5c1e07a2:200,{number:08x}:260",
            X_Deadline_Ms="25000",
            Authorization=f"Bearer {KEY}",
        )
        answer = await call(case.machines[number % 2].front, request)
        case.record.write(
            f"client: claims-{number} got status {answer.status}, complete {answer.complete},"
            f" sealed {answer.headers.get('x-server-seal')}"
        )

    async def send_streams() -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(round(TRAFFIC_SECONDS * STREAMS_A_SECOND)):
                group.create_task(stream(number))
                await asyncio.sleep(1 / STREAMS_A_SECOND)

    async def reuse_address() -> None:
        if case.trouble:
            case.record.write("store: answers 503 to all")
            case.store.set_busy(True)
        await asyncio.sleep(1)
        case.record.write("i-claims-1 crashes for good")
        gone.http.crash()
        await asyncio.sleep(REUSE_SECONDS)
        successor = await create_server("i-support-2", "support", "qc-a")
        successor.http.ip, successor.http.port = gone.http.ip, gone.http.port
        await successor.start()
        case.record.write(f"i-support-2 of support starts at {successor.http.address}")
        if not case.trouble:
            case.store.remove("servers/i-claims-1")
            case.store.put("servers/i-support-2", successor.describe())
            return
        await asyncio.sleep(OUTAGE_SECONDS - 1 - REUSE_SECONDS)
        case.store.set_busy(False)
        case.store.remove("servers/i-claims-1")
        case.store.put("servers/i-support-2", successor.describe())
        case.record.write("store: answers again")

    async with asyncio.TaskGroup() as group:
        group.create_task(send_streams())
        group.create_task(reuse_address())

    if not runs:
        raise CannotRun("no request reached a server")
    foreign = [run for run in runs if run[2].startswith("claims-") and run[1] != "claims"]
    if foreign:
        return (
            f"ROUTE: {len(foreign)} requests of the route of claims were run by a server of"
            f" support, to which no configuration sends them"
        )
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
