"""ASGI application of the stand-in platform."""

import math
from typing import Any

import orjson
import trio
from result import Err, Result

from gypsumpost_bench.lagging_list import LaggingList
from gypsumpost_bench.memory_store import ANSWER_LOST, MemoryStore
from gypsumpost_bench.stand_in_http import (
    JSON_HEADERS,
    AsgiReceive,
    AsgiScope,
    AsgiSend,
    drop_connection,
    read_body,
    read_headers,
    send_json,
)
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_bench.store_gateway_codec import (
    decode_get,
    decode_transaction,
    encode_events,
    encode_header,
    encode_range_result,
    encode_result,
)
from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan
from gypsumpost_daemon.store.era_monitor import STORE_ERA
from gypsumpost_daemon.store.store_codec import decode_bytes
from gypsumpost_daemon.store.store_transaction import StoreTransaction

DOMAIN_HEADER = "x-failure-domain"
TOO_MANY_CALLS = "too many calls"


class PlatformApplication:
    """Serves the etcd v3 JSON gateway, the lagging list and ``/faults``, which injects faults.

    :param store: state, faults and limits, shared by all callers.
    :param hosts: the list of hosts and endpoints.
    """

    def __init__(self, *, store: MemoryStore, hosts: LaggingList) -> None:
        self._store = store
        self._hosts = hosts

    async def __call__(self, scope: AsgiScope, receive: AsgiReceive, send: AsgiSend) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
            return
        body = await read_body(receive)
        try:
            await self._dispatch(scope, body, receive, send)
        except (StoreRejection, orjson.JSONDecodeError, KeyError, ValueError) as error:
            await send_json(send, 400, {"error": repr(error), "code": 3})

    async def _dispatch(
        self, scope: AsgiScope, body: bytes, receive: AsgiReceive, send: AsgiSend
    ) -> None:
        path = scope["path"]
        domain = read_headers(scope).get(DOMAIN_HEADER, "")
        if path == "/faults":
            self._inject_fault(orjson.loads(body))
            await send_json(send, 200, {})
        elif path == "/stats":
            await send_json(send, 200, self._count_calls())
        elif path == "/v1/hosts":
            await self._send_hosts(send, domain)
        elif path == "/v3/watch":
            named = self._name_era(send)
            await self._send_watch(named, receive, orjson.loads(body), domain)
        elif path.startswith("/v3/"):
            await self._send_answer(self._name_era(send), path, orjson.loads(body), domain)
        else:
            await send_json(send, 404, {"error": f"no path {path}"})

    def _inject_fault(self, request: dict[str, Any]) -> None:
        fault = StoreFault(
            kind=StoreFaultKind(request["kind"]),
            until=trio.current_time() + float(request.get("seconds", math.inf)),
            domain=request.get("domain", ""),
            delay=float(request.get("delay", 1.0)),
        )
        self._store.faults.inject(fault)

    def _count_calls(self) -> dict[str, int]:
        limits = self._store.limits
        return {
            "writes": limits.write_count,
            "reads": limits.read_count,
            "refused": limits.refused_count,
            "revision": self._store.logic.revision,
        }

    async def _send_hosts(self, send: AsgiSend, domain: str) -> None:
        if self._store.faults.is_refusing(domain, trio.current_time()):
            await drop_connection(send)
            return
        await send_json(send, 200, self._hosts.read(trio.current_time()))

    async def _send_answer(
        self, send: AsgiSend, path: str, body: dict[str, Any], domain: str
    ) -> None:
        answer = await self._call(path, body, self._store.for_domain(domain))
        if not isinstance(answer, Err):
            await send_json(send, 200, answer.ok_value)
        elif answer.err_value.reason == TOO_MANY_CALLS:
            await send_json(send, 429, {"error": TOO_MANY_CALLS, "code": 8})
        elif answer.err_value == ANSWER_LOST or self._is_refusing(domain):
            await drop_connection(send)
        else:
            await send_json(send, 400, {"error": answer.err_value.reason, "code": 3})

    def _name_era(self, send: AsgiSend) -> AsgiSend:
        async def send_named(message: dict[str, Any]) -> None:
            era = self._store.logic.era
            if era is not None and message["type"] == "http.response.start":
                header = (STORE_ERA, str(era).encode())
                message = message | {"headers": [*message["headers"], header]}
            await send(message)

        return send_named

    def _is_refusing(self, domain: str) -> bool:
        return self._store.faults.is_refusing(domain, trio.current_time())

    async def _call(self, path: str, body: dict[str, Any], store: MemoryStore) -> Result:
        logic = store.logic
        if path == "/v3/kv/txn":
            transaction = decode_transaction(body)
            answer = await store.run_transaction(transaction, math.inf)
            return answer.map(lambda result: encode_result(transaction, result))
        if path == "/v3/kv/range":
            transaction = StoreTransaction(success=(decode_get(body),))
            answer = await store.run_transaction(transaction, math.inf)
            return answer.map(encode_range_result)
        if path == "/v3/lease/grant":
            ttl = int(body["TTL"])
            granted = await store.grant_lease(ttl, math.inf)
            return granted.map(lambda lease: self._encode_lease(lease, ttl))
        lease = int(body["ID"])
        if path == "/v3/lease/keepalive":
            renewed = await store.renew_lease(lease, math.inf)
            return renewed.map(lambda ttl: {"result": self._encode_lease(lease, ttl)})
        if path == "/v3/lease/revoke":
            revoked = await store.revoke_lease(lease, math.inf)
            return revoked.map(lambda _: {"header": encode_header(logic.revision)})
        raise StoreRejection(f"no path {path}")

    def _encode_lease(self, lease: int, ttl: int) -> dict[str, Any]:
        body: dict[str, Any] = {"header": encode_header(self._store.logic.revision)}
        # As in etcd's gateway, a remaining time of 0 is omitted.
        return body | {"ID": str(lease)} | ({"TTL": str(ttl)} if ttl else {})

    async def _send_watch(
        self, send: AsgiSend, receive: AsgiReceive, body: dict[str, Any], domain: str
    ) -> None:
        now = trio.current_time()
        if self._is_refusing(domain) or self._store.faults.is_cutting_watches(now):
            await drop_connection(send)
            return
        if not self._store.limits.try_read(now):
            await send_json(send, 429, {"error": TOO_MANY_CALLS, "code": 8})
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, receive, nursery.cancel_scope)
            await self._send_events(send, body["create_request"], domain)
            nursery.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, receive: AsgiReceive, scope: trio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _send_events(self, send: AsgiSend, request: dict[str, Any], domain: str) -> None:
        logic = self._store.logic
        start = int(request.get("start_revision", 0)) or logic.revision + 1
        await send({"type": "http.response.start", "status": 200, "headers": JSON_HEADERS})
        created = {"result": {"header": encode_header(logic.revision), "created": True}}
        await self._send_line(send, created)
        key, end = decode_bytes(request["key"]), decode_bytes(request.get("range_end", ""))
        async for events in self._store.for_domain(domain).watch(key, end, start):
            await self._send_line(send, encode_events(events, logic.revision))
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _send_line(self, send: AsgiSend, body: dict[str, Any]) -> None:
        line = orjson.dumps(body) + b"\n"
        await send({"type": "http.response.body", "body": line, "more_body": True})
