"""Checks silent engines on connections that are kept for the next check.

Load: engines with many long prompts send no event for seconds, and every stream that waits has its
engine checked several times a second. A new connection for each check costs the engine more than
the check itself.
"""

import trio
from result import Err

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_daemon.engines.endpoint_probe import (
    TRIES,
    TRY_SECONDS,
    ProbeResult,
    open_probe,
    probe_endpoint,
)
from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection
from gypsumpost_daemon.engines.idle_connections import IdleConnections
from gypsumpost_daemon.gateway.engine_work_reader import EngineWorkReader
from gypsumpost_daemon.http.idle_timeout import parse_idle_timeout

KEPT_FRACTION = 0.5
"""Fraction of the endpoint's idle timeout for which a connection is kept, so that the endpoint does
not close it while it is taken."""

UNTOLD_TIMEOUT_SECONDS = 1.0
"""Idle timeout of an endpoint that names none: it names whole seconds only."""


class EngineProbes:
    """Asks engines for a report on a kept connection, and connects where that fails.

    Only checks use these connections, so that a late answer on one of them is mistaken for nothing
    but a sign of life. A check never takes longer than one by connecting.

    :param reader: knows which engines may be asked, and applies what they say about themselves.
    """

    def __init__(self, *, reader: EngineWorkReader) -> None:
        self._reader = reader
        self._idle = IdleConnections()

    async def probe(self, record: EndpointRecord) -> ProbeResult:
        """Return whether an engine answers.

        :param record: the engine.
        """
        if not self._reader.may_ask_often(record):
            return await probe_endpoint(record.address)
        deadline = trio.current_time() + TRY_SECONDS
        kept = self._idle.take(record.address, trio.current_time())
        if kept is not None and await self._ask(kept, record, deadline):
            return ProbeResult.ALIVE
        tries = TRIES - 1 if trio.current_time() >= deadline else TRIES
        opened = await open_probe(record.address, tries=tries)
        if isinstance(opened, Err):
            return opened.err_value
        await self._ask(opened.ok_value, record, trio.current_time() + TRY_SECONDS)
        return ProbeResult.ALIVE

    def close_expired(self) -> None:
        """Close the kept connections that no check has used for a while."""
        self._idle.close_expired(trio.current_time())

    async def _ask(
        self, connection: H11EngineConnection, record: EndpointRecord, deadline: float
    ) -> bool:
        """Return whether the engine has answered; keep the connection if it can be used again."""
        kept = False
        try:
            answer = await self._reader.ask(connection, record, deadline)
            if answer is None:
                return False
            seconds = parse_idle_timeout(answer.headers) or UNTOLD_TIMEOUT_SECONDS
            if not connection.unframed and connection.prepare_next_request():
                kept = True
                now = trio.current_time()
                self._idle.put(record.address, connection, now, seconds=KEPT_FRACTION * seconds)
            return True
        finally:
            if not kept:
                connection.close()
