"""One event of a daemon's structured log."""

from collections.abc import Mapping
from typing import Any

import attrs

from gypsumpost_core.hybrid_clock import MILLISECOND_SHIFT

COMMON_FIELDS = (
    "message",
    "message_type",
    "host_id",
    "clock",
    "timestamp",
    "task_uuid",
    "task_level",
)
"""Fields that all events have in common; the others are specific to an event."""


@attrs.frozen(kw_only=True)
class LogEvent:
    """A log event, ordered among the events of all processes by its hybrid clock.

    :param clock: hybrid clock of the writer.
    :param host_id: host that wrote it.
    :param message: text of the message, including the prefix of the component.
    :param wall_time: wall clock of the writer as Unix time in seconds.
    :param fields: the fields specific to the event.
    """

    clock: int
    host_id: str
    message: str
    wall_time: float
    fields: Mapping[str, Any]

    @property
    def time(self) -> float:
        """Hybrid clock as Unix time in seconds, with a resolution of 1 ms."""
        return (self.clock >> MILLISECOND_SHIFT) / 1000

    @property
    def generation_id(self) -> str:
        """Id of the generation, empty if the event belongs to none."""
        return str(self.fields.get("generation_id", ""))

    @property
    def request_id(self) -> str:
        """Id of the request, empty if the event has none."""
        return str(self.fields.get("request_id", ""))
