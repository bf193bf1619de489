"""Requests larger than any server's memory must not end the processes that receive them."""

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
    create_plain_service,
    create_route,
    run_case,
)
from standins.clients import ClientConnection, call, encode_request
from standins.servers import ModelServer, PlainServer

CALLERS = 8
ALLOWED_LOSSES = 3
STREAMS = 4
LARGE, USUAL = "200,2147483647", "200,360"
"""Many clients send the largest 32-bit integer as their maximum if they want no limit."""


async def play(case: Case) -> str:
    """Play the case and return what broke the rule."""

    passed_on: set[str] = set()

    def write(text: str) -> None:
        case.record.write(f"server: {text}")
        words = text.split()
        if words[0] == "runs":
            passed_on.add(words[3])

    servers: list[ModelServer | PlainServer] = []
    for number, zone in enumerate(("qc-a", "qc-b"), 1):
        model = ModelServer(
            case.new_ip(), instance=f"i-{number}", service="llm-pool", zone=zone, write=write
        )
        model.pieces, model.pause_s = 20, 0.05
        plain = PlainServer(
            case.new_ip(), instance=f"g-{number}", service="cage-api", zone=zone, write=write
        )
        plain.work_s = 0.3
        await model.start()
        await plain.http.start()
        servers += [model, plain]
    for server in servers:
        case.store.put(f"servers/{server.instance}", server.describe())
    routes = [
        create_route("r-1", "/lohu930/", "streaming", "llm-pool", resumable=True),
        create_route("r-2", "/pule252/", "non_idempotent", "cage-api", max_attempts=1)
        | {"timeout_ms": 1500, "target_latency_ms": 400},
    ]
    services = [create_model_service("llm-pool"), create_plain_service("cage-api")]
    case.store.put("op/config", create_configuration(routes, services))
    await case.start(["qc-a", "qc-a", "qc-b"])
    await asyncio.sleep(4)

    lost: dict[str, list[str]] = {machine.name: [] for machine in case.machines}
    stopping = asyncio.Event()

    async def keep_calling(machine_number: int, caller: int) -> None:
        """Send one call after the other on one connection."""
        machine = case.machines[machine_number]
        await asyncio.sleep(0.04 * caller)
        connection = await ClientConnection.open(machine.front)
        for turn in range(1000):
            if stopping.is_set():
                break
            request_id = f"call-{machine_number}-{caller}-{turn}"
            request = encode_request(
                "POST",
                "/pule252/2f",
                request_id,
                Host=HOST,
                X_Deadline_Ms="1500",
                Authorization=f"Bearer {KEY}",
            )
            answer = await connection.exchange(request)
            if not answer.complete:
                case.record.write(f"client: {request_id} at {machine.name}: closed, no answer")
                if request_id in passed_on:
                    lost[machine.name].append(request_id)
                break
        connection.close()

    async def stream(number: int) -> None:
        """Send a stream, and once more at another machine if it fails."""
        for machine in case.machines[:2]:
            request_id = f"stream-{number}-{machine.name}"
            request = encode_request(
                "POST",
                "/lohu930/2f",
                request_id,
                body=f"question {number}".encode(),
                Host=HOST,
                X_Model="m",
                X_Token_Counts=LARGE if case.trouble else USUAL,
                X_Prompt_Prefix=f"5c1e07a2:150,{number:08x}:50",
                X_Deadline_Ms="25000",
                Authorization=f"Bearer {KEY}",
            )
            case.record.write(f"client: sends {request_id}")
            answer = await call(machine.front, request)
            case.record.write(f"client: {request_id} got status {answer.status}")
            if answer.status == 200 and answer.complete:
                break

    async def send_streams() -> None:
        await asyncio.sleep(2)
        async with asyncio.TaskGroup() as group:
            for number in range(STREAMS):
                group.create_task(stream(number))
        await asyncio.sleep(1)
        stopping.set()

    async with asyncio.TaskGroup() as group:
        for machine_number in range(len(case.machines)):
            for caller in range(CALLERS):
                group.create_task(keep_calling(machine_number, caller))
        group.create_task(send_streams())

    ended = []
    for machine in case.machines:
        status = "runs" if machine.ended is None else f"ended by itself with {machine.ended}"
        lines = machine.log_path.read_text(errors="replace").splitlines()
        errors = [line for line in lines if "Error:" in line or ".error:" in line]
        case.record.write(f"{machine.name} {status}, lost {len(lost[machine.name])} calls")
        if machine.ended is not None:
            case.record.write(f"{machine.name} wrote: {errors[-1:]}")
            ended.append(machine.name)
    if not passed_on:
        raise CannotRun("no call reached a server")
    broken = [name for name, ids in lost.items() if len(ids) > ALLOWED_LOSSES]
    if broken:
        return (
            f"LOST: {broken} each passed more than {ALLOWED_LOSSES} requests of kept connections"
            f" on to a sound server and closed without an answer; ended by themselves: {ended}"
        )
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
