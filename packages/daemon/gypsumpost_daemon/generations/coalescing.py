"""Registry of rules for coalescing events of a generation into one write."""

from collections.abc import Callable, Sequence

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.engines.engine_event import EngineEvent

Events = list[EngineEvent]
SplitEvents = Callable[[Events], Sequence[Events]]

COALESCING: Registry[SplitEvents] = Registry(behaviour="coalescing")
"""Each entry returns a function that groups the events of one ``receive`` into writes."""


@COALESCING.register("none")
def create_none() -> SplitEvents:
    """Return the rule that writes every event separately."""
    return lambda events: [[event] for event in events]


@COALESCING.register("adaptive")
def create_adaptive() -> SplitEvents:
    """Return the rule that combines all received events into one write.

    Several events are received at once only if the previous write was still in progress or the
    event loop was delayed, so no event is delayed in order to form a larger write.
    """
    return lambda events: [events]
