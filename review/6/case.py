"""The servers of one service crash and are back after some seconds; two of the three name a limit.

Each host then takes all three for lost. A call asks for a permit of a limited one, is sent on to
the one without a limit, finds it lost, and chooses again without a pause: the process of the host
never runs anything else any more.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import harness

MACHINES = (("a1", "a"), ("b1", "b"), ("c1", "c"), ("a2", "a"), ("b2", "b"), ("c2", "c"), ("a3", "a"))
"""As on the sheet of the Kingston deployment: 7 machines in 3 zones, 3 servers of the portal."""

LIMITS = (1, 1, None)
"""Requests a second that the servers in need take; the third one is not in need."""

WORK_SECONDS = (0.025, 0.025, 0.08)
"""Servers of one service differ in speed."""

MODEL_SERVERS = 7

REQUESTS_PER_SECOND = 22.5
"""As on the sheet: 17.8 calls and 4.7 streams."""

DOWN_SECONDS = 4.5
PORTAL = ("p-0", "p-1", "p-2")
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 15.0
TIMEOUT_SECONDS = 0.8
MIN_SERVED = 20
SLACK_SECONDS = 0.5
GRACE_SECONDS = 8.0
STREAM = {"X-Model": "m", "X-Token-Counts": "1460,780", "X-Prompt-Prefix": "5c1e07a2:800,e4402b7d:660"}


async def main(deployment, trouble):
    """Return true if requests that reach the timeout of their route are answered soon after it."""
    for name, zone in MACHINES:
        deployment.add_daemon(name, f"zone-{zone}")
    await deployment.start()
    for number, (limit, work) in enumerate(zip(LIMITS, WORK_SECONDS)):
        options = {} if limit is None else {"limit": limit}
        zone = f"zone-{'abc'[number]}"
        await deployment.start_server(f"p-{number}", "portal", zone, slots=6, work=work, **options)
    for number in range(MODEL_SERVERS):
        await deployment.start_server(f"m-{number}", "models", f"zone-{'abc'[number % 3]}", events=20)
    await asyncio.sleep(3)

    ready = {daemon.name: [] for daemon in deployment.daemons}
    answers = []
    tasks = [asyncio.ensure_future(ask_ready(daemon, ready[daemon.name])) for daemon in deployment.daemons]
    tasks.append(asyncio.ensure_future(send_calls(deployment, ready, answers)))
    await asyncio.sleep(BEFORE_SECONDS)
    crashed_at = time.monotonic()
    if trouble:
        for server_id in PORTAL:
            deployment.servers[server_id]["process"].kill()
        deployment.record.write(f"{', '.join(PORTAL)} crash")
    await asyncio.sleep(DOWN_SECONDS)
    if trouble:
        for server_id in PORTAL:
            server = deployment.servers[server_id]
            options = {name: server["options"][name] for name in ("slots", "work", "limit") if name in server["options"]}
            await deployment.start_server(server_id, "portal", server["zone"], **options)
        deployment.record.write(f"{', '.join(PORTAL)} are back")
    await asyncio.sleep(AFTER_SECONDS)
    for task in tasks:
        task.cancel()
    await report_processes(deployment, ready, crashed_at)
    return check(deployment, answers, crashed_at)


async def ask_ready(daemon, found):
    """Ask a machine once a second whether it is ready, as the platform does."""
    while True:
        asked_at = time.monotonic()
        found.append((asked_at, await daemon.is_ready()))
        await asyncio.sleep(max(0.0, asked_at + 1 - time.monotonic()))


def in_rotation(deployment, ready):
    """Return the machines that get new connections: two misses take one out, unless a zone has too few."""
    chosen = []
    for zone in ("zone-a", "zone-b", "zone-c"):
        machines = [daemon for daemon in deployment.daemons if daemon.zone == zone]
        good = [d for d in machines if any(ok for _, ok in ready[d.name][-2:]) or len(ready[d.name]) < 2]
        chosen += machines if good and 2 * len(good) < len(machines) else good
    return chosen or deployment.daemons


async def send_calls(deployment, ready, answers):
    """Send calls that must not be repeated to the portal, and some streams, at a steady rate."""
    number = 0
    sent = set()  # The event loop itself keeps no task alive.
    while True:
        machines = in_rotation(deployment, ready)
        daemon = machines[number % len(machines)]
        sent.add(asyncio.ensure_future(send(daemon, number, answers)))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def send(daemon, number, answers):
    """Send one request, and record how long its first answer took; streams are every fifth request."""
    stream = number % 5 == 4
    path, headers = ("/draft/1", STREAM) if stream else ("/submit/1", {})
    answer = {"machine": daemon.name, "stream": stream, "at": time.monotonic(), "status": None, "seconds": None}
    answers.append(answer)
    try:
        reader, writer = await asyncio.open_connection(*harness.split(daemon.front))
        deadline_ms = 25000 if stream else 1500
        writer.write(harness.encode_request("POST", path, f"r-{number}", deadline_ms, b"claim %d" % number, headers))
        try:
            head = await asyncio.wait_for(harness.read_message(reader, read_body=not stream), deadline_ms / 1000)
            answer["status"] = head.status if head is not None else 0
            answer["seconds"] = time.monotonic() - answer["at"]
        except asyncio.TimeoutError:
            pass  # The client gives up; there was no answer.
        finally:
            writer.close()
    except (OSError, asyncio.IncompleteReadError):
        answer["seconds"] = time.monotonic() - answer["at"]


async def report_processes(deployment, ready, since):
    """Write which processes hang: whether they say that they are ready, and whether SIGTERM ends them."""
    silent = [
        daemon
        for daemon in deployment.daemons
        if not any(ok for at, ok in ready[daemon.name] if at > since)
    ]
    for daemon in deployment.daemons:
        found = [ok for at, ok in ready[daemon.name] if at > since]
        cpu = read_cpu_seconds(daemon)
        deployment.record.write(
            f"{daemon.name}: GET /ready answered 200 {sum(found)} of {len(found)} times; {cpu:.1f} s of processor time"
        )
    if silent:
        for daemon in silent:
            daemon.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_SECONDS + 1)
        ended = [daemon.name for daemon in silent if daemon.process.poll() is not None]
        names = [daemon.name for daemon in silent]
        deployment.record.write(f"SIGTERM to {names}: ended within grace_s + 1 s: {ended}")


def read_cpu_seconds(daemon):
    """Return the processor time of a daemon."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def check(deployment, answers, since):
    """Judge the calls that were sent from the crash on."""
    now = time.monotonic()
    calls = [a for a in answers if not a["stream"] and since < a["at"] < now - 2]
    waited = [a["seconds"] if a["seconds"] is not None else now - a["at"] for a in calls]
    past = [seconds for seconds in waited if seconds >= TIMEOUT_SECONDS]
    late = [seconds for seconds in past if seconds >= TIMEOUT_SECONDS + SLACK_SECONDS]
    never = sum(a["seconds"] is None for a in calls)
    served = sum(a["status"] == 200 for a in calls)
    deployment.record.write(
        f"calls sent from the crash on: {len(calls)}, served {served},"
        f" unanswered at the timeout {len(past)}, still unanswered 0.5 s later {len(late)}, never answered {never}"
    )
    before = sum(a["status"] == 200 for a in answers if not a["stream"] and a["at"] < since)
    if before < MIN_SERVED:
        raise RuntimeError(f"only {before} calls were served before the crash")
    streams = [a for a in answers if a["stream"] and since < a["at"] < now - 2]
    deployment.record.write(
        f"streams of the other service sent then: {len(streams)}, begun {sum(a['status'] == 200 for a in streams)}"
    )
    return not (len(late) >= 8 and 2 * len(late) > len(past))


harness.run_case(main, Path(__file__).resolve().parent / "record.txt")
