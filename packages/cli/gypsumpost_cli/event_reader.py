"""Parses server-sent events from the chunks of a response body."""

from collections.abc import Iterator
from typing import Any

import attrs
import orjson


@attrs.frozen(kw_only=True)
class ReceivedEvent:
    """A server-sent event.

    :param event_id: value of its ``id`` field, empty if it has none.
    :param data: the decoded JSON, ``None`` for ``[DONE]``.
    """

    event_id: str
    data: dict[str, Any] | None


@attrs.define(kw_only=True)
class EventReader:
    """Splits a response body into events."""

    _buffer: bytes = attrs.field(default=b"", init=False)

    def feed(self, chunk: bytes) -> Iterator[ReceivedEvent]:
        """Add a chunk of the body and return the events that it completes.

        :param chunk: bytes of the body.
        """
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for block in blocks:
            event = _parse_block(block)
            if event is not None:
                yield event


def _parse_block(block: bytes) -> ReceivedEvent | None:
    event_id = b""
    data_lines = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value
        elif name == b"data":
            data_lines.append(value)
    if not data_lines:
        return None
    data = b"\n".join(data_lines)
    return ReceivedEvent(
        event_id=event_id.decode(), data=None if data == b"[DONE]" else orjson.loads(data)
    )
