"""Stand-in of a server: an engine that writes streams, or a plain service.

Started with one argument, a JSON object: ``id``, ``ip``, ``port``, ``born``, ``log`` (a file to
which each request is appended) and, where they fit, ``events`` (length of a stream), ``gap``
(seconds between events), ``work`` (seconds for a call), ``crash_on`` (a body on which the process
ends), ``limit`` (the ``Server-Limit`` of every answer).
"""

import asyncio
import json
import os
import sys
import time

from harness import read_message, split

HANDLE_SECONDS = 4.0
COPY_SECONDS = 0.2
CRASH_SECONDS = 0.05


class Server:
    """The server.

    :param options: see the module.
    """

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self._log = open(options["log"], "a")
        self._running = {}
        self._busy = 0
        self._copies = {}

    def log(self, **fields):
        """Append one line to the log of requests."""
        self._log.write(json.dumps({"at": time.monotonic(), "server": self.id, **fields}) + "\n")
        self._log.flush()

    async def serve(self, reader, writer):
        """Serve the requests of one connection, one after the other."""
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, reader, writer):
        method, path, _ = request.line.split(" ")
        if path == "/copy-part":  # Between stand-ins only: a part of a run's memory arrives.
            part = json.loads(request.body)
            self._copies[part["id"]] = part | {"at": time.monotonic()}
            await self._send(writer, 200, b"{}")
            return True
        request_id = request.headers.get("x-request-attempt-id", "")
        self.log(
            method=method, path=path, request=request_id, body=request.body[:60].decode("latin-1"),
            headers={name: value for name, value in request.headers.items() if name != "authorization"},
        )
        if path == "/report":
            await self._send(writer, 200, json.dumps(self._report()).encode())
            return True
        if path == "/health":
            await self._send(writer, 200, b"", {"X-Instance-Id": self.id})
            return True
        if request.headers.get("x-expect-instance", self.id) != self.id:
            await self._send(writer, 421, b"", {"X-Instance-Id": self.id})
            return True
        if self.options.get("crash_on") and self.options["crash_on"].encode() in request.body:
            await asyncio.sleep(CRASH_SECONDS)
            self.log(event="crash", request=request_id)
            os._exit(1)
        if "x-token-counts" in request.headers:
            await self._stream(request, request_id, reader, writer)
            return False
        self._busy += 1
        await asyncio.sleep(self.options.get("work", 0.03))
        self._busy -= 1
        self.log(event="ran", request=request_id)
        await self._send(writer, 200, f"done by {self.id}".encode(), {"X-Server-Seal": "s"}, request_id)
        return True

    async def _send(self, writer, status, body, headers=None, request_id=""):
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        if "limit" in self.options:
            fields["Server-Limit"] = str(self.options["limit"])
        if "slots" in self.options:
            fields["X-Server-Load"] = f"{self._busy},0,{self.options['slots']}"
        if request_id:
            fields["X-Request-Attempt-Id"] = request_id
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()

    def _report(self):
        runs = [[run, 1000, events, 5] for run, events in self._running.items()]
        return {
            "stage": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "sequence": 1, "waiting": 0, "running": len(runs), "kv_used": 1000 * len(runs), "kv_total": 55000,
            "handles": 0, "runs": runs, "next": 0, "born": self.options["born"],
        }

    async def _stream(self, request, request_id, reader, writer):
        """Write a stream. The text of an event names the run whose memory it was made from."""
        origin, source = request_id, request.headers.get("kv-from")
        last = int(request.headers.get("last-event-id", "0"))
        if source is not None:
            address, _, handle = source.partition("/")
            copy = self._copies.pop(handle, None)
            if copy is None or time.monotonic() - copy["at"] > HANDLE_SECONDS:
                self.log(event="no copy", request=request_id, source=source)
                await self._send(writer, 503, b"", {"X-Not-Executed": "1"}, request_id)
                return
            origin = copy["origin"]
            self.log(event="goes on from memory", request=request_id, memory_of=handle, origin=origin, after=last)
        else:
            self.log(event="reads the prompt", request=request_id, after=last)
            await asyncio.sleep(self.options.get("prefill", 0.3))
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Attempt-Id: {request_id}\r\n"
            "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        left = asyncio.ensure_future(reader.read(1))
        self._running[request_id] = last
        copied_at = 0.0
        backup = request.headers.get("x-kv-backup")
        try:
            for number in range(last + 1, self.options.get("events", 130) + 1):
                if left.done():
                    self.log(event="its caller has left", request=request_id, made=number - 1)
                    return
                event = f"id: {number}\ndata: made from the memory of {origin}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                self._running[request_id] = number
                if backup and time.monotonic() >= copied_at + COPY_SECONDS:
                    copied_at = time.monotonic()
                    await self._copy(backup, {"id": request_id, "origin": origin, "events": number})
                await asyncio.sleep(self.options.get("gap", 0.03))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.log(event="complete", request=request_id)
        finally:
            left.cancel()
            self._running.pop(request_id, None)

    async def _copy(self, address, part):
        try:
            reader, writer = await asyncio.open_connection(*split(address))
        except OSError:
            return
        body = json.dumps(part).encode()
        writer.write(f"POST /copy-part HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await read_message(reader)
        writer.close()


async def main():
    """Serve until the process is ended."""
    options = json.loads(sys.argv[1])
    server = Server(options)
    listener = await asyncio.start_server(server.serve, options["ip"], options["port"], limit=1 << 20)
    async with listener:
        await listener.serve_forever()


asyncio.run(main())
