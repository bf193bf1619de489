"""Checks whether an endpoint accepts connections."""

import enum

import trio
from result import Err

from gypsumpost_daemon.engines.h11_engine_connection import connect

TRY_SECONDS = 0.045
"""Several round trips between domains; an answer within this time is certain while it lives."""

TRIES = 2
"""One lost packet must not look like a lost endpoint."""


class ProbeResult(enum.Enum):
    """What a probe found."""

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"


async def probe_endpoint(address: str) -> ProbeResult:
    """Connect to an endpoint and close the connection.

    :param address: ``ip:port``.
    """
    for _ in range(TRIES):
        opened = await connect(address, trio.current_time() + TRY_SECONDS)
        if not isinstance(opened, Err):
            opened.ok_value.close()
            return ProbeResult.ALIVE
        if opened.err_value.refused:
            return ProbeResult.REFUSED
    return ProbeResult.SILENT
