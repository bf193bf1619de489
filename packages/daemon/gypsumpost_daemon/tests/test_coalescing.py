"""Tests of the coalescing rules."""

import pytest

from gypsumpost_daemon.engines.engine_event import EngineEvent
from gypsumpost_daemon.generations.coalescing import COALESCING


@pytest.mark.parametrize(("name", "writes"), [("none", 3), ("adaptive", 1)])
def test_writes_hold_all_events_in_order(name, writes):
    """Guards against lost or reordered tokens when writes are combined."""
    events = [EngineEvent(offset=offset) for offset in range(3)]
    groups = COALESCING.create(name)(events)
    assert len(groups) == writes
    assert [event for group in groups for event in group] == events
