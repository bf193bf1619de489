"""Another writer's entries name a service that is not named; the sound servers must hold."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

from standins.case import (
    HOST,
    KEY,
    CannotRun,
    Case,
    create_configuration,
    create_plain_service,
    create_route,
    run_case,
)
from standins.clients import call, encode_request
from standins.servers import PlainServer

CALLS = 20


async def play(case: Case) -> str:
    """Play the trial and return what went wrong."""
    servers = []
    for number, zone in enumerate(("qc-a", "qc-b", "qc-c")):
        server = PlainServer(
            case.new_ip(),
            instance=f"g-{number}",
            service="cage-api",
            zone=zone,
            write=case.record.write,
        )
        await server.http.start()
        case.store.put(f"servers/{server.instance}", server.describe())
        servers.append(server)
    route = create_route("r-1", "/puxa403/", "idempotent", "cage-api", max_attempts=2)
    route |= {"timeout_ms": 600, "target_latency_ms": 100}
    case.store.put("op/config", create_configuration([route], [create_plain_service("cage-api")]))
    await case.start(["qc-a", "qc-a"])
    await asyncio.sleep(4)

    async def count_served(name: str) -> int:
        served = 0
        for number in range(CALLS):
            request = encode_request(
                "GET",
                "/puxa403/2f",
                f"{name}-{number}",
                Host=HOST,
                X_Deadline_Ms="600",
                Authorization=f"Bearer {KEY}",
            )
            served += (await call(case.machines[number % 2].front, request)).status == 200
        case.record.write(f"client: {name}: {served} of {CALLS} calls served")
        return served

    if await count_served("before") < CALLS:
        raise CannotRun("not all calls were served before")
    odd = {
        f"servers/odd-{server.instance}": server.describe()
        | {"service": "unnamed", "born": server.born + 5}
        for server in servers
        if case.trouble
    }
    for key, entry in odd.items():
        case.store.put(key, entry)
    await asyncio.sleep(1)
    during = await count_served("with-odd-entries")
    for key in odd:
        case.store.remove(key)
    await asyncio.sleep(5)
    after = await count_served("after-them")
    if during < CALLS or after < CALLS:
        return f"{during} of {CALLS} calls served with odd entries, {after} of {CALLS} after them"
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
