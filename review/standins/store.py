"""Stand-in for the platform's metadata store: range reads and watches."""

import asyncio
import base64
import json
from typing import Any

from .http import Connection, HttpServer, Request, encode_answer


class Store:
    """Holds items and answers ``/kv-range`` and ``/kv-watch``; ``busy`` answers 503 to all."""

    def __init__(self, ip: str) -> None:
        self.server = HttpServer(ip, self._answer)
        self.busy = False
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "created_rev": self._items.get(key, {}).get("created_rev", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._add_event(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "revision": self._revision, "removed": True})

    def set_busy(self, busy: bool) -> None:
        """Begin or end a disruption in which each call is answered 503; watches are cut."""
        self.busy = busy
        self._wake()

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request, connection: Connection) -> None:
        status, document = 404, {}
        if self.busy:
            status = 503
        elif request.path == "/kv-range":
            status, document = 200, self._read(request.query["prefix"])
        elif request.path == "/kv-watch":
            status, document = await self._watch(request.query)
        body = json.dumps(document).encode()
        await connection.send(encode_answer(status, body, Content_Type="application/json"))

    def _read(self, prefix: str) -> dict[str, Any]:
        items = [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]
        return {"items": items, "has_more": False, "store_revision": self._revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            if self.busy:
                return 503, {}
            events = [
                event
                for event in self._events
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = deadline - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
