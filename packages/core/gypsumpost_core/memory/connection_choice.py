"""Chooses the connection that is closed when there are too many."""

from collections.abc import Iterable

from gypsumpost_core.memory.connection_entry import ConnectionEntry
from gypsumpost_core.memory.connection_stage import ConnectionStage

PATIENCE_SECONDS = 1.0
"""Time for a request to arrive on a new connection, or completely, before it may be closed."""

ORDER = (
    (ConnectionStage.NEW, PATIENCE_SECONDS),
    (ConnectionStage.IDLE, 0.0),
    (ConnectionStage.READING, PATIENCE_SECONDS),
)
"""Stages in the order in which connections are closed, each with its least age in seconds."""


def choose_connection(entries: Iterable[ConnectionEntry], now: float) -> ConnectionEntry | None:
    """Return the connection to close for a new one, ``None`` if all serve requests.

    Answers the load of callers that open connections without using them. Those that have never
    carried a request are closed first, then the one that has been idle for the longest time, then
    the one whose request has made no progress for the longest time.

    :param entries: the open connections.
    :param now: monotonic time in seconds.
    """
    oldest: dict[ConnectionStage, ConnectionEntry] = {}
    for entry in entries:
        found = oldest.get(entry.stage)
        if found is None or entry.progressed_at < found.progressed_at:
            oldest[entry.stage] = entry
    for stage, least_age in ORDER:
        candidate = oldest.get(stage)
        if candidate is not None and now - candidate.progressed_at >= least_age:
            return candidate
    return None
