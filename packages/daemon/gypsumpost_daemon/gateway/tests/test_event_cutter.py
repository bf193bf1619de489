"""Tests of splitting a stream into events."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumpost_daemon.gateway.event_cutter import EventCutter

STREAM = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 30\ndata: c\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8).map(sorted))
def test_pieces_of_any_size_give_the_same_events(cuts):
    """Guards against an event that is split, joined or lost where the network splits the stream."""
    cutter = EventCutter(id_field=b"id")
    edges = [0, *cuts, len(STREAM)]
    pieces = [STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    events = [event for piece in pieces for event in cutter.feed(piece)]
    assert b"".join(event.data for event in events) == STREAM
    assert [event.event_id for event in events] == [b"1", b"2", b"", b"30"]
    assert not cutter.incomplete


def test_the_beginning_of_an_event_is_held_back():
    """Guards against a partial event in front of the events of another engine."""
    cutter = EventCutter(id_field=b"id")
    assert cutter.feed(b"id: 1\ndata: a") == []
    assert cutter.incomplete
