"""Checks whether an endpoint accepts connections."""

import enum

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection, connect

TRY_SECONDS = 0.045
"""Several round trips between domains; a live endpoint always answers within this time."""

TRIES = 2
"""More than one, so that a lost packet is not mistaken for a lost endpoint."""


class ProbeResult(enum.Enum):
    """Outcome of a probe.

    ``SILENT`` if no try was accepted or refused, ``NOT_TRIED`` if this host could not try.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"
    NOT_TRIED = "not tried"


async def probe_endpoint(address: str, *, tries: int = TRIES) -> ProbeResult:
    """Connect to an endpoint and close the connection.

    :param address: ``ip:port``.
    :param tries: greatest number of connections to try.
    """
    opened = await open_probe(address, tries=tries)
    if isinstance(opened, Err):
        return opened.err_value
    opened.ok_value.close()
    return ProbeResult.ALIVE


async def open_probe(
    address: str, *, tries: int = TRIES
) -> Result[H11EngineConnection, ProbeResult]:
    """Connect to an endpoint, and return the connection or the outcome without one.

    :param address: ``ip:port``.
    :param tries: greatest number of connections to try.
    """
    for _ in range(tries):
        opened = await connect(address, trio.current_time() + TRY_SECONDS, fast_chunks=False)
        if not isinstance(opened, Err):
            return Ok(opened.ok_value)
        if opened.err_value.refused:
            return Err(ProbeResult.REFUSED)
        if opened.err_value.local:
            return Err(ProbeResult.NOT_TRIED)
    return Err(ProbeResult.SILENT)
