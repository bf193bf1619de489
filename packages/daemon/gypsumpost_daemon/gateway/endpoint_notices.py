"""Reads what endpoints say about themselves in the headers of any answer."""

from collections.abc import Callable, Iterable

import trio

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_daemon.gateway.header_names import HeaderNames
from gypsumpost_daemon.gateway.message_headers import find_header
from gypsumpost_daemon.http.retry_after import UNAVAILABLE, parse_retry_after
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="endpoint")


class EndpointNotices:
    """Applies the headers by which an endpoint leaves or asks for a pause.

    :param fleet: the endpoints.
    :param names: names of the platform's headers.
    """

    def __init__(self, *, fleet: EndpointFleet, names: HeaderNames) -> None:
        self._fleet = fleet
        self._names = names
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when an endpoint has said that it leaves."""
        self._listeners.append(listener)

    def observe(
        self,
        record: EndpointRecord,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Apply the headers of an answer of the endpoint itself.

        :param record: the endpoint.
        :param status: status code.
        :param headers: headers in lower case.
        """
        received = list(headers)
        if find_header(received, self._names.leaving) == b"1":
            self._mark_leaving(record)
        pause = find_header(received, self._names.retry_after)
        if status == UNAVAILABLE and pause is not None:
            self._close(record, pause)

    def _mark_leaving(self, record: EndpointRecord) -> None:
        start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
        if self._fleet.mark_leaving(start):
            LOG.write("an endpoint says that it leaves", endpoint=record.endpoint_id)
            for listener in self._listeners:
                listener()

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
