"""Parts of a small deployment for the scripts of this review: store, daemons, servers, callers.

Only the standard library is used. Everything listens on loopback addresses and free ports. The
processes that are started are kept by id and ended by the script that started them.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
DEPS = ROOT / "target" / "deps"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
HOST = "model.example"
METRICS_PORT = 9102
HELD, BROKEN, CANNOT_RUN = 0, 10, 2
"""Exit statuses; ``run.sh`` makes 1 of a broken rule."""

GATE_ROUTE = {
    "host": HOST,
    "timeout_ms": 800,
    "target_latency_ms": 150,
    "priority": 2,
    "public": False,
    "sticky": False,
    "service": "portal",
}
ROUTES = [
    GATE_ROUTE | {"name": "submit", "prefix": "/submit/", "kind": "non_idempotent", "max_attempts": 1},
    GATE_ROUTE | {"name": "status", "prefix": "/status/", "kind": "idempotent", "max_attempts": 2},
    {
        "name": "draft",
        "host": HOST,
        "prefix": "/draft/",
        "kind": "streaming",
        "timeout_ms": 25000,
        "target_latency_ms": 4500,
        "priority": 1,
        "public": False,
        "sticky": True,
        "service": "models",
        "max_attempts": 5,
        "resumable": True,
        "gap_aim_ms": 700,
    },
]
SERVICES = [
    {"name": "portal", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False},
    {
        "name": "models",
        "health_path": "/health",
        "max_connections": 230,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 32,
            "kv_capacity_tokens": 55000,
            "kv_bytes": 163840,
            "link_mbps": 740000.0,
            "moves": True,
            "backups": True,
            "stride": 6,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 4.0,
            "models": [{"name": "m"}],
        },
    },
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.8,
    "budget_window_s": 10,
    "budget_min_retries": 150,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case.

    :param path: the file.
    """

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line with the time, also to the standard output."""
        line = f"{self.now():8.3f}  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Store:
    """The platform's store: reads and watches. Nothing is written by the daemons here.

    :param ip: address to listen on.
    """

    def __init__(self, ip):
        self._ip = ip
        self._revision = 10
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, self._ip, 0)
        self.address = f"{self._ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, key, document):
        """Write an item."""
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self._revision, "created_rev": self._revision, "lease": 0}
        self._items[key] = item
        self._add_event(item)

    def remove(self, key):
        """Remove an item."""
        del self._items[key]
        self._revision += 1
        self._add_event({"key": key, "revision": self._revision, "removed": True})

    def _add_event(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                target = urlsplit(request.line.split(" ")[1])
                query = {name: values[0] for name, values in parse_qs(target.query).items()}
                if target.path == "/kv-range":
                    document = self._read(query)
                elif target.path == "/kv-watch":
                    document = await self._watch(query)
                else:
                    writer.write(b"HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                body = json.dumps(document).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _read(self, query):
        keys = sorted(key for key in self._items if key.startswith(query["prefix"]) and key > query.get("after", ""))
        return {"items": [self._items[key] for key in keys], "has_more": False, "store_revision": self._revision}

    async def _watch(self, query):
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > int(query["after"]) and event["key"].startswith(query["prefix"])
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Message:
    """The head of a request or of an answer, and its body if it has a length."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status code of an answer."""
        return int(self.line.split(" ")[1])


async def read_message(reader, read_body=True):
    """Return the next message of a connection, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if read_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


async def read_chunks(reader):
    """Yield the content of a chunked body; raises ``IncompleteReadError`` if it is cut off."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


class Daemon:
    """One machine with its daemon process.

    :param name: name of the machine.
    :param zone: its zone.
    :param ip: its address.
    :param deployment: what it belongs to.
    """

    def __init__(self, name, zone, ip, deployment):
        self.name = name
        self.zone = zone
        self.ip = ip
        self._deployment = deployment
        self.process = None
        self.front = f"{ip}:{deployment.front_port}"
        self.ready = f"{ip}:{deployment.ready_port}"

    def start(self):
        """Start the process with the command of the deploy file."""
        deployment = self._deployment
        settings = {
            "node": self.name,
            "role": "gypsumpostd",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in sorted({daemon.zone for daemon in deployment.daemons})},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{self.ip}:{deployment.control_port}",
            },
            "port_range": [deployment.first_port, deployment.first_port + 15],
            "seeds": [f"{daemon.ip}:{deployment.control_port}" for daemon in deployment.daemons[:3]],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "provider": {"address": deployment.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        path = deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(DEPS),
            "GYPSUMPOST_BOOT": str(path),
            "GYPSUMPOST_ADAPTER": "gypsumpost_platform.adapter",
        }
        self.log = open(deployment.folder / f"{self.name}.log", "ab")
        # The command of deploy/system.toml; the interpreter is the one that runs this script.
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gypsumpost_daemon"],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        deployment.processes.append(self.process)

    async def is_ready(self):
        """Return whether the machine says that it is ready."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*split(self.ready)), 1)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ready}\r\nConnection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def read_log(self):
        """Return the lines of the log as objects."""
        lines = []
        for line in (self._deployment.folder / f"{self.name}.log").read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"message": line})
        return lines


class Proxy:
    """The path from the machines to one server; it can be cut and healed.

    :param target: address of the server.
    """

    def __init__(self, target):
        self._target = target
        self._tasks = set()
        self._server = None
        self.address = ("", 0)

    async def start(self, ip, port):
        """Listen, and pass everything on."""
        self.address = (ip, port)
        self._server = await asyncio.start_server(self._pass_on, ip, port)

    async def cut(self):
        """Close the listener and reset the open connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def heal(self):
        """Listen again at the same address."""
        await self.start(*self.address)

    async def _pass_on(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        other = None
        try:
            far_reader, other = await asyncio.open_connection(*self._target)
            done, pending = await asyncio.wait(
                [asyncio.ensure_future(pump(reader, other)), asyncio.ensure_future(pump(far_reader, writer))],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for part in pending:
                part.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for end in (writer, other):
                if end is not None:
                    end.transport.abort()


async def pump(reader, writer):
    """Copy bytes until one side ends; what was read before is written."""
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write_eof()
        await asyncio.sleep(0.05)
    except (OSError, RuntimeError):
        pass


class Deployment:
    """A store, daemons and servers on loopback addresses.

    :param record: where events are written.
    """

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.processes = []
        self.daemons = []
        self.servers = {}
        self._base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next = 1
        self.store = Store(self.take_ip())

    def take_ip(self):
        """Return the next loopback address of this deployment."""
        self._next += 1
        return f"{self._base}.{self._next}"

    def add_daemon(self, name, zone):
        """Add a machine; it is started by :meth:`start`."""
        self.daemons.append((name, zone))

    def configure(self, version, routes):
        """Write a configuration."""
        self.store.put("op/config", {
            "version": version,
            "routes": routes,
            "services": SERVICES,
            "limits": LIMITS,
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        })

    async def start(self, routes=None):
        """Start the store and all daemons, and wait until they are ready."""
        await self.store.start()
        self.configure(3, ROUTES if routes is None else routes)
        wanted, self.daemons = self.daemons, []
        ips = [self.take_ip() for _ in wanted]
        self._choose_ports(ips)
        for (name, zone), ip in zip(wanted, ips):
            self.daemons.append(Daemon(name, zone, ip, self))
        for daemon in self.daemons:
            daemon.start()
        deadline = time.monotonic() + 20
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline:
                    for line in daemon.read_log()[-5:]:
                        self.record.write(f"{daemon.name}: {line}")
                    raise RuntimeError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write(f"ready: {', '.join(daemon.name for daemon in self.daemons)}")

    def find(self, name):
        """Return a daemon by name."""
        return next(daemon for daemon in self.daemons if daemon.name == name)

    def _choose_ports(self, ips):
        for _ in range(200):
            first = random.randint(20000, 29000)
            ports = [first, first + 1, first + 20, first + 21, first + 22, METRICS_PORT]
            if all(is_free(ip, port) for ip in ips for port in ports):
                self.first_port, self.front_port, self.ready_port, self.control_port = first, first + 20, first + 21, first + 22
                return
        raise RuntimeError("no free ports")

    async def start_server(self, server_id, service, zone, proxied=False, **options):
        """Start a server process and write its entry to the store.

        :param server_id: its id.
        :param service: its service.
        :param zone: its zone.
        :param proxied: true if the machines reach it over a :class:`Proxy`.
        :param options: see ``server.py``.
        """
        known = self.servers.get(server_id)
        ip, port = known["address"] if known else (self.take_ip(), 0)
        if not port:
            port = find_free_port(ip)
        born = int(time.time() * 1000)
        log = self.folder / f"{server_id}.requests"
        options = {"id": server_id, "ip": ip, "port": port, "born": born, "log": str(log), **options}
        process = subprocess.Popen([sys.executable, str(STANDINS / "server.py"), json.dumps(options)])
        self.processes.append(process)
        self.servers[server_id] = {
            "address": (ip, port), "process": process, "log": log, "options": options, "service": service, "zone": zone,
        }
        await wait_open(ip, port)
        if proxied:
            proxy = Proxy((ip, port))
            proxy_ip = self.take_ip()
            await proxy.start(proxy_ip, find_free_port(proxy_ip))
            self.servers[server_id]["proxy"] = proxy
            self.servers[server_id]["address"] = proxy.address
        self.write_entry(server_id)

    def write_entry(self, server_id, **changes):
        """Write the entry of a server to the store."""
        server = self.servers[server_id]
        ip, port = server["address"]
        self.store.put(f"servers/{server_id}", {
            "service": server["service"],
            "address": f"{ip}:{port}",
            "zone": server["zone"],
            "version": "v1",
            "slots": server["options"].get("slots", 32),
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": server["options"]["born"],
        } | changes)

    def read_requests(self, server_id):
        """Return the requests that a server has received, over all its starts."""
        log = self.servers[server_id]["log"]
        if not log.exists():
            return []
        return [json.loads(line) for line in log.read_text().splitlines()]

    def stop(self):
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def split(address):
    """Return IP and port of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def is_free(ip, port):
    """Return whether a TCP and UDP port of an address is free."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def find_free_port(ip):
    """Return a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def wait_open(ip, port):
    """Wait until a server listens."""
    deadline = time.monotonic() + 10
    while True:
        try:
            _, writer = await asyncio.open_connection(ip, port)
            writer.close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise RuntimeError(f"nothing listens at {ip}:{port}") from None
            await asyncio.sleep(0.02)


def encode_request(method, path, request_id, deadline_ms, body=b"", headers=None):
    """Return a caller's request."""
    fields = {
        "Host": HOST,
        "X-Request-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **(headers or {}),
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


def end_by_signal(number, frame):
    """End the script by way of its ``finally`` clauses, which end the processes that it started."""
    raise SystemExit(CANNOT_RUN)


def run_case(main, record_path):
    """Run a case and exit with ``BROKEN``, ``HELD`` or ``CANNOT_RUN``.

    :param main: called with the deployment; returns true if the rule held.
    :param record_path: where to write what happened.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_by_signal)
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")
    status = CANNOT_RUN
    deployment = None
    try:
        if not (DEPS / "gypsumpost_daemon").is_dir():
            raise RuntimeError("target/deps is missing: run the build of the deploy file first")

        async def run():
            nonlocal deployment
            deployment = Deployment(record)
            try:
                return await asyncio.wait_for(main(deployment, trouble), 110)
            finally:
                tasks = asyncio.all_tasks() - {asyncio.current_task()}
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks, timeout=2) if tasks else None

        held = asyncio.run(run())
        status = HELD if held else BROKEN
        record.write("the rule held" if held else "the rule was broken")
    except Exception as error:  # Whatever prevents a verdict is reported as such.
        record.write(f"the case could not run: {error!r}")
    finally:
        if deployment is not None:
            deployment.stop()
    sys.exit(status)
