"""More clients than descriptors, and a server is lost; the process must not end."""

import asyncio
import os
import resource
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
from standins.clients import ClientConnection, encode_request
from standins.servers import PlainServer

SOCKETS = 1438
"""``max_fds`` of 1,638 on the smallest machines, less the 200 that are reserved for files."""

CLIENTS, USUAL_CLIENTS = 1500, 1000


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
    await case.start(["qc-a"])
    await asyncio.sleep(4)
    machine = case.machines[0]
    if machine.process is None:
        raise CannotRun("no process")
    resource.prlimit(machine.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    connections = [
        await ClientConnection.open(machine.front)
        for _ in range(CLIENTS if case.trouble else USUAL_CLIENTS)
    ]
    await asyncio.sleep(1)
    servers[0].http.crash()
    statuses = []
    for number, connection in enumerate(connections[:60]):
        request = encode_request(
            "GET",
            "/puxa403/2f",
            f"call-{number}",
            Host=HOST,
            X_Deadline_Ms="600",
            Authorization=f"Bearer {KEY}",
        )
        statuses.append((await connection.exchange(request)).status)
        await asyncio.sleep(0.05)
    case.record.write(f"client: statuses {statuses}")
    if machine.ended is not None:
        return f"the process ended by itself with {machine.ended}"
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
