"""A connection over which a caller read an answer."""

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
    """The time span of a connection and how it ended.

    :param address: ``ip:port`` of the entry host.
    :param opened_at: monotonic time in seconds at which the request was sent.
    :param ended_at: monotonic time in seconds of its end.
    :param end: how it ended; the caller itself closed it for ``DROPPED`` and ``TIMED_OUT``.
    """

    address: str
    opened_at: float
    ended_at: float
    end: ConnectionEnd
