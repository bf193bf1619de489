"""One connection over which a caller read an answer."""

import enum

import attrs


class ConnectionEnd(enum.Enum):
    """How a connection ended."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"
    TIMED_OUT = "timed out"
    DROPPED = "dropped"


@attrs.frozen(kw_only=True)
class Connection:
    """One connection.

    :param address: the entry host.
    :param opened_at: process time in seconds at which the request was sent.
    :param ended_at: process time in seconds of its end.
    :param end: how it ended; ``DROPPED`` and ``TIMED_OUT`` by the caller itself.
    """

    address: str
    opened_at: float
    ended_at: float
    end: ConnectionEnd
