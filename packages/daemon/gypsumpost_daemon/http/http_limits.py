"""Limits of the callers' HTTP connections."""

import attrs


@attrs.define(kw_only=True)
class HttpLimits:
    """Sizes in bytes and times in seconds.

    A change applies to the next request of a connection, but one of ``max_head`` or
    ``stall_seconds`` only to new connections.

    :param max_body: longest request body.
    :param max_head: longest request line with headers.
    :param max_pipelined: most input that is read ahead while a request is being answered.
    :param idle_seconds: how long a connection may wait for its next request.
    :param head_seconds: how long the headers of a request may take.
    :param body_seconds: how long a caller may send nothing before its body is complete.
    :param stall_seconds: how long a caller may read nothing of a response.
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
    stop_idle_seconds: float = 0.5
