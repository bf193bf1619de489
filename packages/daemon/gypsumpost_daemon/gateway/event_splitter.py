"""Splits an event stream into complete events."""

import re

import attrs

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event as its engine sent it.

    :param data: the bytes, including the empty line that ends the event.
    :param event_id: its id, empty if it has none.
    """

    data: bytes
    event_id: bytes

    @property
    def has_content(self) -> bool:
        """False for a comment, which engines and proxies send to keep a connection open."""
        return not all(line.startswith(b":") for line in self.data.splitlines() if line)


class EventSplitter:
    """Splits a byte stream into events and buffers an event until it is complete.

    :param id_field: the field that holds the id of an event.
    """

    def __init__(self, *, id_field: bytes) -> None:
        self._id = re.compile(rb"(?:^|[\r\n])" + re.escape(id_field) + rb":[ ]?([^\r\n]*)")
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete now.

        :param data: the next bytes of the stream.
        """
        self._buffer += data
        events = []
        start = 0
        for match in EVENT_END.finditer(self._buffer):
            event_data = self._buffer[start : match.end()]
            start = match.end()
            id_match = self._id.search(event_data)
            events.append(StreamEvent(data=event_data, event_id=id_match[1] if id_match else b""))
        self._buffer = self._buffer[start:]
        return events

    @property
    def buffered(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)
