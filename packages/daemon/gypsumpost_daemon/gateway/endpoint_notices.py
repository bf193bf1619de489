"""Reads what endpoints say about themselves in the headers of any answer."""

from collections.abc import Callable, Iterable

import trio
from result import Err, Ok

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.limits.request_limit import RequestLimit
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.gateway.message_headers import find_header
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose
from gypsumpost_daemon.http.request_limit_header import parse_request_limit
from gypsumpost_daemon.http.retry_after import UNAVAILABLE, parse_retry_after
from gypsumpost_daemon.telemetry.line_limiter import LineLimiter
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="endpoint")


MAX_LOGGED_BYTES = 100
LOG_SECONDS = 1.0
"""Minimum time between two lines about an endpoint's limit, which may change in each answer."""


class EndpointNotices:
    """Applies the headers by which an endpoint leaves, asks for a pause or limits the requests.

    :param fleet: the endpoints.
    :param adapter: names and formats of the platform.
    :param limits: the limits on requests.
    :param metrics: counters of the gateway.
    """

    def __init__(
        self,
        *,
        fleet: EndpointFleet,
        adapter: GatewayAdapter,
        limits: RequestLimits,
        metrics: GatewayMetrics,
    ) -> None:
        self._fleet = fleet
        self._adapter = adapter
        self._names = adapter.headers
        self._limits = limits
        self._metrics = metrics
        self._limit_listeners: list[Callable[[], None]] = []
        self._lines = LineLimiter(seconds=LOG_SECONDS)
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when peers have to know at once what an endpoint has said."""
        self._listeners.append(listener)

    def add_limit_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when a limit has changed or has ended."""
        self._limit_listeners.append(listener)

    def list_limits(self, now: float) -> tuple[RequestLimit, ...]:
        """Return the limits of known endpoints that peers have to know.

        :param now: monotonic time in seconds.
        """
        known = {state.record.process_key for state in self._fleet}
        return tuple(limit for limit in self._limits.list_told(now) if limit.key in known)

    def apply_limits(self, limits: Iterable[RequestLimit], source: str, now: float) -> bool:
        """Apply the limits that another host knows, and return true if any has changed.

        :param limits: the limits.
        :param source: the other host.
        :param now: monotonic time in seconds.
        """
        changed = [limit for limit in limits if self._limits.merge(limit, source, now)]
        for limit in changed:
            if self._lines.allow(limit.key, now):
                LOG.write(
                    "learned a limit from a peer",
                    process=limit.key,
                    per_second=limit.per_second,
                    source=source,
                )
        if not changed:
            return False
        self._fleet.clear_limits({limit.key for limit in changed if limit.per_second is None})
        self._notify_limit_listeners()
        return True

    def observe(
        self,
        record: EndpointRecord,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        sent_at: float,
    ) -> None:
        """Apply the headers of an answer of the endpoint itself.

        :param record: the endpoint.
        :param status: status code.
        :param headers: headers in lower case.
        :param sent_at: monotonic time in seconds at which the request was sent.
        """
        received = list(headers)
        if find_header(received, self._names.leaving) == b"1":
            self._mark_leaving(record)
        pause = find_header(received, self._names.retry_after)
        if status == UNAVAILABLE and pause is not None:
            self._close(record, pause)
        self._observe_load(record, [value for name, value in received if name == self._names.load])
        values = [value for name, value in received if name == self._names.request_limit]
        self._observe_limit(record, values, sent_at)

    def record_request(self, record: EndpointRecord, purpose: RequestPurpose) -> None:
        """Count a request that is sent to an endpoint with a limit.

        :param record: the endpoint.
        :param purpose: what it is sent for.
        """
        if self._limits.get(record.process_key) is not None:
            self._metrics.count_limited_request(record.endpoint_id, purpose.value)

    def _observe_limit(self, record: EndpointRecord, values: list[bytes], sent_at: float) -> None:
        now, key = trio.current_time(), record.process_key
        parsed = parse_request_limit(values)
        if isinstance(parsed, Err):
            if self._lines.allow(key, now):
                LOG.write(
                    "ignored a limit",
                    endpoint=record.endpoint_id,
                    reason=parsed.err_value,
                    value=values[0][:MAX_LOGGED_BYTES].decode("latin-1"),
                )
            parsed = Ok(None)
        known = self._limits.get(key)
        if not self._limits.observe(key, parsed.ok_value, sent_at=sent_at, now=now):
            return
        if parsed.ok_value is None:
            self._fleet.clear_limits({key})
        self._notify_limit_listeners()
        if known is None:
            self._notify_listeners()
        if self._lines.allow(key, now):
            LOG.write(
                (
                    "an endpoint limits the requests of all hosts"
                    if parsed.ok_value is not None
                    else "an endpoint has no limit any more"
                ),
                endpoint=record.endpoint_id,
                service=record.service,
                per_second=parsed.ok_value,
            )

    def _observe_load(self, record: EndpointRecord, values: list[bytes]) -> None:
        state = self._fleet.find_running(record)
        if not values or state is None:
            return
        now = trio.current_time()
        decoded = (
            self._adapter.decode_load(values[0]) if len(values) == 1 else Err("it comes twice")
        )
        if not isinstance(decoded, Err):
            state.observe_load(decoded.ok_value, now)
        elif self._lines.allow(f"load {record.process_key}", now):
            LOG.write(
                "ignored a load",
                endpoint=record.endpoint_id,
                reason=decoded.err_value,
                value=values[0][:MAX_LOGGED_BYTES].decode("latin-1"),
            )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _notify_limit_listeners(self) -> None:
        for listener in self._limit_listeners:
            listener()

    def _mark_leaving(self, record: EndpointRecord) -> None:
        start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
        if self._fleet.mark_leaving(start):
            LOG.write("an endpoint says that it leaves", endpoint=record.endpoint_id)
            self._notify_listeners()

    def _close(self, record: EndpointRecord, value: bytes) -> None:
        seconds = parse_retry_after(value)
        if seconds is None:
            LOG.write(
                "ignored a pause that is no number of seconds",
                endpoint=record.endpoint_id,
                value=value.decode("latin-1"),
            )
            return
        LOG.write(
            "an endpoint wants no requests for a while",
            endpoint=record.endpoint_id,
            seconds=seconds,
        )
        self._fleet.close(record, trio.current_time() + seconds)
