"""Registry of rules that say which events of a generation share a write."""

from collections.abc import Callable, Sequence

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.engines.engine_event import EngineEvent

Events = list[EngineEvent]
SplitEvents = Callable[[Events], Sequence[Events]]

COALESCING: Registry[SplitEvents] = Registry(behaviour="coalescing")
"""Each entry returns a function that splits the events of one ``receive`` into writes."""


@COALESCING.register("none")
def create_none() -> SplitEvents:
    """Return the rule that writes every event by itself."""
    return lambda events: [[event] for event in events]


@COALESCING.register("adaptive")
def create_adaptive() -> SplitEvents:
    """Return the rule that writes together all events that have arrived.

    Several events have arrived only if the former write was still under way or the loop was late,
    so nothing waits for the sake of a larger write.
    """
    return lambda events: [events]
