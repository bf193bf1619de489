"""Splits a byte stream into server-sent events."""

MAX_EVENT_BYTES = 16 << 20


class EventStreamDecoder:
    """Buffers bytes until events are complete; lines may end with LF, CRLF or CR."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def buffered(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the data fields of all events that they complete.

        :param data: the next bytes of the stream.
        :raises ValueError: if an event is longer than ``MAX_EVENT_BYTES``.
        """
        if not self._incomplete and is_single_event(data):
            return [data[6:-2]]
        buffer = self._incomplete + data if self._incomplete else data
        trailing_cr = b""
        if b"\r" in buffer:
            # A CR at the end may be the first half of a CRLF.
            trailing_cr = b"\r" if buffer.endswith(b"\r") else b""
            buffer = buffer.removesuffix(trailing_cr).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        complete, separator, incomplete = buffer.rpartition(b"\n\n")
        self._incomplete = incomplete + trailing_cr
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if not separator:
            return []
        payloads = [extract_data(block) for block in complete.split(b"\n\n")]
        return [payload for payload in payloads if payload is not None]


def is_single_event(data: bytes) -> bool:
    """Return true for one complete event with a single data line, which is the usual case.

    :param data: bytes at the start of an event.
    """
    return (
        data.startswith(b"data: ")
        and data.endswith(b"\n\n")
        and data.find(b"\n") == len(data) - 2
        and b"\r" not in data
    )


def extract_data(block: bytes) -> bytes | None:
    """Return the data field of one event, ``None`` if it has none (for example a comment).

    :param block: the lines of the event.
    """
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    lines = [line[5:] for line in block.split(b"\n") if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line.removeprefix(b" ") for line in lines)
