"""Client for the platform's key-value store, using the etcd v3 JSON gateway."""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, TypeVar

import httpcore
import orjson
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.era_belief import EraVerdict
from gypsumpost_daemon.engines.sent_trace import SentTrace
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_codec import (
    decode_event,
    decode_transaction_result,
    encode_range,
    encode_transaction,
)
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_transaction import StoreTransaction
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

T = TypeVar("T")

MAX_CALLS_IN_FLIGHT = 16
"""Further calls wait; the store's capacity is shared by the whole fleet."""

CONNECT_SECONDS = 1.0
"""Timeout of one connection attempt, to leave time for a second address."""

REFUSED_STATUSES = (400, 404, 429)
"""Statuses with which the gateway rejects a call before it has any effect."""


class StoreClient:
    """Implements ``Store``; each failure states whether the call may have taken effect.

    :param addresses: ``ip:port`` of the gateways, tried in order until a connection succeeds.
    :param failure_domain: domain of this host, sent as a header.
    :param max_calls_in_flight: maximum number of concurrent calls, not counting watches.
    :param eras: judges all answers by their era, ``None`` for one of this client alone.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        failure_domain: str,
        max_calls_in_flight: int = MAX_CALLS_IN_FLIGHT,
        eras: EraMonitor | None = None,
    ) -> None:
        self._eras = eras or EraMonitor()
        self._addresses = tuple(addresses)
        self._watch_count = -1
        self._slots = trio.Semaphore(max_calls_in_flight)
        self._headers = [
            (b"Content-Type", b"application/json"),
            (b"X-Failure-Domain", failure_domain.encode()),
        ]
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=max_calls_in_flight,
            keepalive_expiry=30.0,
            network_backend=httpcore.TrioBackend(),
        )

    async def run_transaction(
        self, transaction: StoreTransaction, deadline: float
    ) -> Result[StoreTransactionResult, StoreFailure]:
        """Run a transaction; a read is a transaction without conditions.

        :param transaction: the transaction.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        body = encode_transaction(transaction)
        return await self._call("/v3/kv/txn", body, decode_transaction_result, deadline)

    async def grant_lease(self, ttl_seconds: int, deadline: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id.

        :param ttl_seconds: lifetime of the lease.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        body = {"TTL": str(ttl_seconds)}
        return await self._call("/v3/lease/grant", body, lambda answer: int(answer["ID"]), deadline)

    async def renew_lease(self, lease: int, deadline: float) -> Result[int, StoreFailure]:
        """Renew a lease and return its remaining seconds, 0 if it has expired.

        :param lease: id of the lease.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        body = {"ID": str(lease)}
        return await self._call("/v3/lease/keepalive", body, _decode_ttl, deadline)

    async def revoke_lease(self, lease: int, deadline: float) -> Result[None, StoreFailure]:
        """Revoke a lease, which deletes its keys.

        :param lease: id of the lease.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        body = {"ID": str(lease)}
        return await self._call("/v3/lease/revoke", body, lambda answer: None, deadline)

    async def watch(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncIterator[list[StoreEvent]]:
        """Yield batches of changes; ends when the watch is interrupted or cannot be opened.

        :param key: first key of the range.
        :param range_end: end of the range (exclusive), empty for a single key.
        :param start_revision: first revision to report, 0 for changes from now on.
        """
        request: dict[str, Any] = dict(encode_range(key, range_end))
        if start_revision:
            request["start_revision"] = str(start_revision)
        content = orjson.dumps({"create_request": request})
        url = self._build_url(self._choose_watch_address(), "/v3/watch")
        try:
            async with self._pool.stream("POST", url, **self._build_options(content)) as response:
                verdict = self._eras.observe(self._eras.read_era(response.headers))
                if response.status != 200 or verdict is not EraVerdict.CURRENT:
                    return
                async for events in _read_events(response):
                    yield events
        except _NETWORK_ERRORS:
            return

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _call(
        self, path: str, body: object, decode: Callable[[Any], T], deadline: float
    ) -> Result[T, StoreFailure]:
        trace = SentTrace()
        reason = "no answer in time"
        with trio.move_on_at(deadline):
            async with self._slots:
                try:
                    response = await self._send(path, orjson.dumps(body), trace)
                    era = self._eras.read_era(response.headers)
                    return self._eras.judge(_decode_response(response, decode), era)
                except _NETWORK_ERRORS as error:
                    reason = f"{type(error).__name__}: {error}"
        return Err(StoreFailure(reason=reason, sent=trace.sent))

    async def _send(self, path: str, content: bytes, trace: SentTrace) -> httpcore.Response:
        for address in self._addresses[:-1]:
            try:
                return await self._send_to(address, path, content, trace)
            except _NETWORK_ERRORS:
                # A call that may have taken effect must not be sent to another gateway.
                if trace.sent:
                    raise
        return await self._send_to(self._addresses[-1], path, content, trace)

    async def _send_to(
        self, address: str, path: str, content: bytes, trace: SentTrace
    ) -> httpcore.Response:
        options = self._build_options(content)
        options["extensions"] = {
            "trace": trace.observe,
            "timeout": {"connect": CONNECT_SECONDS},
        }
        return await self._pool.request("POST", self._build_url(address, path), **options)

    def _choose_watch_address(self) -> str:
        # Each new watch uses the next gateway, so that a failed one is not retried forever.
        self._watch_count += 1
        return self._addresses[self._watch_count % len(self._addresses)]

    def _build_options(self, content: bytes) -> dict[str, Any]:
        return {"headers": self._headers, "content": content}

    def _build_url(self, address: str, path: str) -> str:
        return f"http://{address}{path}"


_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


def _decode_ttl(answer: dict[str, Any]) -> int:
    return int(answer["result"].get("TTL", 0))


def _decode_response(
    response: httpcore.Response, decode: Callable[[Any], T]
) -> Result[T, StoreFailure]:
    if response.status != 200:
        sent = response.status not in REFUSED_STATUSES
        return Err(StoreFailure(reason=f"status {response.status}", sent=sent))
    try:
        return Ok(decode(orjson.loads(response.content)))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(StoreFailure(reason=f"unreadable answer: {error!r}", sent=True))


async def _read_events(response: httpcore.Response) -> AsyncIterator[list[StoreEvent]]:
    buffer = b""
    async for chunk in response.aiter_stream():
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            events = orjson.loads(line).get("result", {}).get("events", ()) if line else ()
            if events:
                yield [decode_event(event) for event in events]
