"""Limits of the callers' HTTP connections."""

import attrs

MAX_CONNECTIONS = 4096


@attrs.define(kw_only=True)
class HttpLimits:
    """Sizes in bytes and times in seconds.

    A change applies to the next request of a connection, one of ``max_head`` also to a head that is
    under way, but one of ``stall_seconds`` or ``least_rate`` only to new connections.

    :param max_body: longest request body.
    :param max_head: longest request line with headers.
    :param max_pipelined: most input that is read ahead while a request is being answered.
    :param idle_seconds: how long a connection may wait for its next request.
    :param head_seconds: how long the headers of a request may take.
    :param body_seconds: time within which a caller must send ``least_rate`` of an incomplete body.
    :param stall_seconds: time within which a caller must read ``least_rate`` of a response.
    :param least_rate: bytes a second, averaged over one of these times.
    :param max_connections: most connections at once; idle ones are closed for new ones.
    :param stop_idle_seconds: how long an idle connection stays open once the server stops, for a
        request that is already in transit.
    """

    max_body: int
    max_head: int = 65536
    max_pipelined: int = 65536
    idle_seconds: float = 75.0
    head_seconds: float = 10.0
    body_seconds: float = 20.0
    stall_seconds: float = 10.0
    least_rate: float = 500.0
    max_connections: int = MAX_CONNECTIONS
    stop_idle_seconds: float = 0.5
