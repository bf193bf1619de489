"""Stand-ins for the servers: model servers with copies of their memory, and plain services."""

import asyncio
import dataclasses
import itertools
import json
import time
from collections.abc import Callable

from .http import Connection, HttpServer, Request, encode_answer

Write = Callable[[str], None]


@dataclasses.dataclass
class Memory:
    """What a model server keeps of a run: its request, and how many events it has made."""

    request_id: str
    prompt: str
    made: int = 0
    target: "ModelServer | None" = None
    begun: bool = False


class Server:
    """A server with an id, an address and an entry in the store."""

    def __init__(self, ip: str, *, instance: str, service: str, zone: str, write: Write) -> None:
        self.http = HttpServer(ip, self._answer)
        self.instance, self.service, self.zone = instance, service, zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.write = write

    def describe(self) -> dict[str, object]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
            "born": self.born,
        }

    async def _answer(self, request: Request, connection: Connection) -> None:
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            await connection.send(encode_answer(status, X_Instance_Id=self.instance))
        elif request.path == "/report":
            await connection.send(encode_answer(200, json.dumps(self.report()).encode()))
        elif request.path == "/kv-move":
            await self.move(request, connection)
        elif "x-request-attempt-id" not in request.headers:
            await connection.send(encode_answer(400, X_Not_Executed="1"))
        elif request.headers.get("x-expect-instance", self.instance) != self.instance:
            self.write(f"421 {self.instance} {request.headers.get('x-request-attempt-id')}")
            await connection.send(encode_answer(421, X_Instance_Id=self.instance))
        else:
            await self.run(request, connection)

    def report(self) -> dict[str, object]:
        """Return the answer to ``GET /report``."""
        return {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 55000,
            "handles": 0,
            "state": self.state,
            "born": self.born,
            "runs": [],
        }

    async def run(self, request: Request, connection: Connection) -> None:
        """Run a request and answer it."""
        raise NotImplementedError

    async def move(self, request: Request, connection: Connection) -> None:
        """Answer an order to copy the memory of a run; a plain service has none."""
        await connection.send(encode_answer(404))


class PlainServer(Server):
    """A plain service that works for ``work_s`` on each request."""

    work_s = 0.02

    async def run(self, request: Request, connection: Connection) -> None:
        """Run a request and answer it."""
        request_id = request.headers["x-request-attempt-id"]
        self.write(f"runs {self.instance} {self.service} {request_id} {request.target}")
        await asyncio.sleep(self.work_s)
        await connection.send(
            encode_answer(
                200,
                f"done {request_id}".encode(),
                X_Request_Attempt_Id=request_id,
                X_Server_Seal=f"seal-{self.instance}-{request_id}",
            )
        )


class ModelServer(Server):
    """A model server: makes events, sends copies of its memory along, goes on from copies.

    The text of an event follows from the memory that it is made from.
    """

    by_address: dict[str, "ModelServer"] = {}

    def __init__(self, ip: str, *, instance: str, service: str, zone: str, write: Write) -> None:
        super().__init__(ip, instance=instance, service=service, zone=zone, write=write)
        self.runs: dict[str, Memory] = {}
        self.copies: dict[str, Memory] = {}
        self.kv_tokens = 55000
        self._handles = itertools.count(1)
        self.first_token_s = 0.05
        self.first_s = 0.1
        self.pause_s = 0.1
        self.pieces = 60

    async def start(self) -> None:
        """Listen."""
        await self.http.start()
        self.by_address[self.http.address] = self

    def report(self) -> dict[str, object]:
        """Return the answer to ``GET /report``."""
        runs = [
            [request_id, 10, memory.made, 5]
            for request_id, memory in self.runs.items()
            if memory.begun
        ]
        return super().report() | {"running": len(self.runs), "runs": runs}

    def keep(self, handle: str, memory: Memory) -> None:
        """Keep a copy of the memory of a run; handles are named as in ``Kv-From``."""
        self.copies[handle] = Memory(memory.request_id, memory.prompt, memory.made)

    async def move(self, request: Request, connection: Connection) -> None:
        """Copy the memory of a run to another server, as ``POST /kv-move`` orders."""
        order = json.loads(request.body)
        memory, target = self.runs.get(order["id"]), self.by_address.get(order["target"])
        if memory is None:
            await connection.send(encode_answer(404))
            return
        if target is None:
            await connection.send(encode_answer(503))
            return
        handle = f"h{next(self._handles)}"
        target.keep(f"{self.http.address}/{handle}", memory)
        self.write(f"moves {self.instance} {order['id']} to {target.instance}")
        answer = {"handle": handle, "created_rev": memory.made}
        await connection.send(encode_answer(200, json.dumps(answer).encode()))

    async def run(self, request: Request, connection: Connection) -> None:
        """Run a request and send its events."""
        headers = request.headers
        request_id = headers["x-request-attempt-id"]
        if sum(map(int, headers.get("x-token-counts", "0,0").split(","))) > self.kv_tokens:
            self.write(f"rejects {self.instance} {request_id}: larger than the memory")
            await connection.send(
                encode_answer(503, X_Not_Executed="1", X_Request_Attempt_Id=request_id)
            )
            return
        prompt = describe_prompt(request)
        memory = Memory(request_id, prompt)
        source = headers.get("kv-from")
        if source is not None:
            held = self.copies.pop(source, None)
            if held is None:
                self.write(f"rejects {self.instance} {request_id}: no copy {source}")
                await connection.send(
                    encode_answer(503, X_Not_Executed="1", X_Request_Attempt_Id=request_id)
                )
                return
            memory = held
        memory.target = self.by_address.get(headers.get("x-kv-backup", ""))
        self.write(
            f"runs {self.instance} {self.service} {request_id} prompt={prompt}"
            f" last={headers.get('last-event-id', '')} memory-of={memory.request_id}"
            f" memory-prompt={memory.prompt}"
        )
        self.runs[request_id] = memory
        try:
            first = int(headers.get("last-event-id") or 0)
            await self._send_events(request_id, memory, first, connection)
        finally:
            del self.runs[request_id]

    async def _send_events(
        self, request_id: str, memory: Memory, first: int, connection: Connection
    ) -> None:
        await asyncio.sleep(self.first_token_s)
        memory.begun = True
        self.write(f"first-token {self.instance} {request_id}")
        await asyncio.sleep(self.first_s - self.first_token_s)
        head = encode_answer(
            200,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Request_Attempt_Id=request_id,
            X_Server_Seal=f"seal-{self.instance}-{request_id}",
            X_Weight_Versions="1",
        ).replace(b"Content-Length: 0\r\n", b"")
        await connection.send(head)
        for number in range(first + 1, self.pieces + 1):
            event = f"id: {number}\ndata: {memory.prompt} piece {number}\n\n".encode()
            await connection.send(b"%x\r\n%b\r\n" % (len(event), event))
            memory.made = max(memory.made, number)
            if memory.target is not None:
                memory.target.keep(f"{memory.target.http.address}/{request_id}", memory)
            await asyncio.sleep(self.pause_s)
        await connection.send(b"0\r\n\r\n")
        if memory.target is not None:
            memory.target.copies.pop(f"{memory.target.http.address}/{request_id}", None)


def describe_prompt(request: Request) -> str:
    """Return the prompt that a request names."""
    headers = request.headers
    return f"{headers.get('x-model', '')}|{headers.get('x-prompt-prefix', '')}".replace(" ", "")
