"""One event of a daemon's structured log."""

from collections.abc import Mapping
from typing import Any

import attrs

from gypsumpost_core.hybrid_clock import MILLISECOND_SHIFT

RESERVED = ("message", "message_type", "host_id", "clock", "timestamp", "task_uuid", "task_level")
"""Fields of every event; the others are values of the event itself."""


@attrs.frozen(kw_only=True)
class LogEvent:
    """An event with its place in the order over all processes.

    :param clock: hybrid clock of the writer.
    :param host_id: host that wrote it.
    :param sentence: the line, with the prefix of the part.
    :param wall_time: Unix time of the writer in seconds.
    :param fields: the other values.
    """

    clock: int
    host_id: str
    sentence: str
    wall_time: float
    fields: Mapping[str, Any]

    @property
    def time(self) -> float:
        """Unix time in seconds that the clock stands for, to a millisecond."""
        return (self.clock >> MILLISECOND_SHIFT) / 1000

    @property
    def generation_id(self) -> str:
        """The generation, empty if the event belongs to none."""
        return str(self.fields.get("generation_id", ""))

    @property
    def request_id(self) -> str:
        """The request, empty if the event names none."""
        return str(self.fields.get("request_id", ""))
