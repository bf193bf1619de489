"""Tests of splitting a stream into events."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumpost_daemon.gateway.event_splitter import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 30\ndata: c\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8).map(sorted))
def test_events_do_not_depend_on_how_the_stream_is_split(positions):
    """Guards against an event that is split, joined or lost where the network splits the stream."""
    splitter = EventSplitter(id_field=b"id")
    edges = [0, *positions, len(STREAM)]
    parts = [STREAM[start:end] for start, end in zip(edges, edges[1:], strict=False)]
    events = [event for part in parts for event in splitter.feed(part)]
    assert b"".join(event.data for event in events) == STREAM
    assert [event.event_id for event in events] == [b"1", b"2", b"", b"30"]
    assert splitter.buffered == 0


def test_the_beginning_of_an_event_is_buffered():
    """Guards against a partial event in front of the events of another engine."""
    splitter = EventSplitter(id_field=b"id")
    assert splitter.feed(b"id: 1\ndata: a") == []
    assert splitter.buffered == len(b"id: 1\ndata: a")


def test_a_comment_is_no_content():
    """Guards against a stalled engine that looks alive because it sends comments."""
    splitter = EventSplitter(id_field=b"id")
    events = splitter.feed(b": ping\n\n:\n\nid: 1\n: note\ndata: a\n\n")
    assert [event.has_content for event in events] == [False, False, True]
