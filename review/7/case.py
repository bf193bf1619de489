"""One of five callers leaves early; the machines of one zone are killed, and a caller from there comes back.

Callers A and B send equal requests, A in zone-a and B in zone-b. A leaves. B's machines are killed, and
the platform leads B to zone-a, whose machines do not know B's copy. They know one copy under an equal
request that nobody serves any more, that of A, and resume B from it.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import harness

MACHINES = (("a1", "zone-a"), ("a2", "zone-a"), ("a3", "zone-a"), ("b1", "zone-b"), ("b2", "zone-b"))
KILLED = ("b1", "b2")
FIRST = {"A": "a1", "B": "b1", "C": "a2", "D": "a3", "E": "b2"}
LEAVES = "A"
LEAVE_SECONDS = 2.2
"""A leaves within half the objective of 4.5 s."""

KILL_AFTER_SECONDS = 0.3
RETRY_SECONDS = 0.4
EQUAL_BODY = b'{"prompt": "summarise the evidence of claim 4711"}'
HEADERS = {"X-Model": "m", "X-Token-Counts": "1460,780", "X-Prompt-Prefix": "5c1e07a2:800,e4402b7d:660"}


class Balancer:
    """The platform's address of a zone: machines that miss two checks in a row get no new connection."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {daemon.name: 0 for daemon in deployment.daemons}
        self._turn = 0

    async def check(self, daemon):
        """Check one machine once a second."""
        while True:
            asked_at = time.monotonic()
            ready = await daemon.is_ready()
            self.misses[daemon.name] = 0 if ready else self.misses[daemon.name] + 1
            await asyncio.sleep(max(0.0, asked_at + 1 - time.monotonic()))

    def choose(self, zone):
        """Return the machine for the next connection of a client in a zone."""
        machines = self._list(zone) or self._list("zone-a" if zone == "zone-b" else "zone-b")
        self._turn += 1
        return machines[self._turn % len(machines)]

    def _list(self, zone):
        machines = [daemon for daemon in self.deployment.daemons if daemon.zone == zone]
        good = [daemon for daemon in machines if self.misses[daemon.name] < 2]
        return machines if good and 2 * len(good) < len(machines) else good


class Caller:
    """A caller of one stream, which comes back with the id of its last event."""

    def __init__(self, name, deployment):
        self.name = name
        self.record = deployment.record
        self.zone = deployment.find(FIRST[name]).zone
        self.number = 0
        self.last = 0
        self.complete = False
        self.began_at = time.monotonic()
        self.body = EQUAL_BODY if name in "AB" else b'{"prompt": "other work of %b"}' % name.encode()
        self.headers = HEADERS if name in "AB" else HEADERS | {"X-Prompt-Prefix": f"5c1e07a2:800,{ord(name):08x}:660"}

    async def run(self, daemon):
        """Send the request to one machine and read until the connection ends."""
        self.number += 1
        request_id = f"{self.name.lower()}-attempt-{self.number}"
        headers = self.headers | ({"Last-Event-Id": str(self.last)} if self.last else {})
        left_ms = int(25000 - 1000 * (time.monotonic() - self.began_at))
        self.record.write(f"caller {self.name} sends {request_id} to {daemon.name}, last event {self.last}")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*harness.split(daemon.front)), 1)
            writer.write(harness.encode_request("POST", "/draft/1", request_id, left_ms, self.body, headers))
            head = await harness.read_message(reader, read_body=False)
            if head is None or head.status != 200:
                return
            buffer = b""
            async for data in harness.read_chunks(reader):
                buffer += data
                *events, buffer = buffer.split(b"\n\n")
                for event in events:
                    self._take(event.decode())
            self.complete = True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"caller {self.name}: {request_id} ended after event {self.last}: {error!r:.60}")
        finally:
            if writer is not None:
                writer.close()

    def _take(self, event):
        number, _, text = event.partition("\n")
        number = int(number.removeprefix("id: "))
        if number == 1 or number % 40 == 0:
            self.record.write(f"caller {self.name}: event {number}, {text}")
        self.last = number

    async def stay(self, balancer):
        """Read the whole stream, over as many connections as that takes."""
        while not self.complete and time.monotonic() < self.began_at + 25:
            await asyncio.sleep(RETRY_SECONDS)
            await self.run(balancer.choose(self.zone))


async def main(deployment, trouble):
    """Return true if no request went on from the memory of another caller's request."""
    for name, zone in MACHINES:
        deployment.add_daemon(name, zone)
    await deployment.start()
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c") * 2):
        await deployment.start_server(f"i-{number}", "models", zone, events=130, gap=0.05)
    balancer = Balancer(deployment)
    checks = [asyncio.ensure_future(balancer.check(daemon)) for daemon in deployment.daemons]
    await asyncio.sleep(3)

    callers = {name: Caller(name, deployment) for name in FIRST}
    runs = {name: asyncio.ensure_future(caller.run(deployment.find(FIRST[name]))) for name, caller in callers.items()}
    await asyncio.sleep(LEAVE_SECONDS)
    if min(caller.last for caller in callers.values()) < 1:
        raise RuntimeError("a stream has not begun in time")
    if trouble:
        runs[LEAVES].cancel()
        deployment.record.write(f"caller {LEAVES} leaves after event {callers[LEAVES].last}")
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if trouble:
        for name in KILLED:
            deployment.find(name).process.kill()
        deployment.record.write(f"killed {', '.join(KILLED)} at once (SIGKILL)")

    staying = [name for name in callers if not (trouble and name == LEAVES)]

    async def finish(name):
        await runs[name]
        await callers[name].stay(balancer)

    await asyncio.wait_for(asyncio.gather(*(finish(name) for name in staying)), 60)
    if not all(callers[name].complete for name in staying):
        raise RuntimeError("a caller had no whole answer")
    for check_task in checks:
        check_task.cancel()
    return check(deployment)


def check(deployment):
    """Return true if each run went on only from memory of the same caller's request."""
    held = True
    for server_id in deployment.servers:
        for entry in deployment.read_requests(server_id):
            if "event" in entry or entry["path"] == "/draft/1":
                deployment.record.write(f"server {server_id}: {entry.get('event') or 'receives'} {describe(entry)}")
            if entry.get("event") == "goes on from memory" and entry["request"][0] != entry["memory_of"][0]:
                held = False
                deployment.record.write(
                    f"MIXED: {entry['request']} went on from the memory of {entry['memory_of']} at {server_id}"
                )
    return held


def describe(entry):
    """Return an entry of a server's log for the record."""
    kept = {name: value for name, value in entry.items() if name not in ("at", "server", "event", "headers", "body")}
    headers = entry.get("headers", {})
    kept |= {name: headers[name] for name in ("kv-from", "x-kv-backup", "last-event-id") if name in headers}
    return str(kept)


harness.run_case(main, Path(__file__).resolve().parent / "record.txt")
