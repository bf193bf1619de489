"""Two callers send equal requests; the machines of one zone and one of the other are killed.

Caller B came from the lost zone, whose copies the other zone does not know. The host that takes it
over knows one copy under an equal request, that of caller A, and resumes B from it.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import harness

KILLED = ("a1", "b1", "b2")
EVENTS_BEFORE = 12
RETRY_DELAY = {"A": 0.4, "B": 0.05}
"""Callers retry at once; these times only fix the order in which the two arrive."""

BODY = b'{"prompt": "summarise the evidence of claim 4711"}'
HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "1460,780",
    "X-Prompt-Prefix": "5c1e07a2:800,e4402b7d:660",
}


class Caller:
    """A caller of one stream, which comes back with the id of its last event."""

    def __init__(self, name, deployment):
        self.name = name
        self.deployment = deployment
        self.record = deployment.record
        self.attempts = []
        self.last = 0
        self.complete = False
        self.reached = asyncio.Event()
        self._began_at = time.monotonic()

    async def run(self, front):
        """Send the request to one machine and read until the connection ends."""
        request_id = f"{self.name.lower()}-attempt-{len(self.attempts) + 1}"
        self.attempts.append(request_id)
        headers = dict(HEADERS)
        if self.last:
            headers["Last-Event-Id"] = str(self.last)
        left_ms = int(25000 - 1000 * (time.monotonic() - self._began_at))
        self.record.write(f"caller {self.name} sends {request_id} to {front.name}, last event {self.last}")
        reader, writer = await asyncio.open_connection(*harness.split(front.front))
        writer.write(harness.encode_request("POST", "/draft/1", request_id, left_ms, BODY, headers))
        try:
            head = await harness.read_message(reader, read_body=False)
            self.record.write(f"caller {self.name}: {request_id} is answered {head and head.line}")
            if head is None or head.status != 200:
                return
            buffer = b""
            async for data in harness.read_chunks(reader):
                buffer += data
                *events, buffer = buffer.split(b"\n\n")
                for event in events:
                    self._take(event)
            self.complete = True
        except (OSError, asyncio.IncompleteReadError):
            self.record.write(f"caller {self.name}: the connection of {request_id} broke after event {self.last}")
        finally:
            writer.close()

    def _take(self, event):
        number, _, text = event.decode().partition("\n")
        number = int(number.removeprefix("id: "))
        if number in (1, EVENTS_BEFORE) or number == self.last + 1 and self.last % 40 == 0:
            self.record.write(f"caller {self.name}: event {number}, {text}")
        self.last = number
        if number >= EVENTS_BEFORE:
            self.reached.set()


async def main(deployment, trouble):
    """Return true if no request went on from the memory of another caller's request."""
    for name, zone in (("a1", "zone-a"), ("a2", "zone-a"), ("a3", "zone-a"), ("b1", "zone-b"), ("b2", "zone-b")):
        deployment.add_daemon(name, zone)
    await deployment.start()
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c") * 2):
        await deployment.start_server(f"i-{number}", "models", zone, events=130, gap=0.05)
    await asyncio.sleep(3)

    callers = {name: Caller(name, deployment) for name in "AB"}
    runs = {
        "A": asyncio.ensure_future(callers["A"].run(deployment.find("a1"))),
        "B": asyncio.ensure_future(callers["B"].run(deployment.find("b1"))),
    }
    for caller in callers.values():
        await asyncio.wait_for(caller.reached.wait(), 20)
    await asyncio.sleep(1.0)
    if trouble:
        for name in KILLED:
            deployment.find(name).process.kill()
        deployment.record.write(f"killed {', '.join(KILLED)} at once (SIGKILL)")

    async def come_back(name):
        await runs[name]
        while not callers[name].complete:
            await asyncio.sleep(RETRY_DELAY[name])
            # No machine of zone-b is in rotation: the platform uses those of the nearest zone.
            await callers[name].run(deployment.find("a2"))

    await asyncio.wait_for(asyncio.gather(*(come_back(name) for name in callers)), 60)
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
