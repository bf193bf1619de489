"""Decodes the chunked transfer coding of HTTP/1.1."""

import re

CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
MAX_LINE_BYTES = 8192
MAX_TRAILER_BYTES = 65536
NO_BOUND = 1 << 62


class ChunkDecoder:
    """Incrementally decodes the body of a chunked message.

    h11 needs three events and a dozen calls for each chunk. As an engine sends one chunk per token,
    that took two fifths of the time per token.

    :param keeps_following: true to keep the bytes after the message, see :attr:`following`; they
        are malformed otherwise.
    """

    def __init__(self, *, keeps_following: bool = False) -> None:
        self._keeps_following = keeps_following
        self._buffer = b""
        self._remaining = 0
        self._in_trailers = False
        self._trailer_bytes = 0
        self.ended = False
        self.following = b""
        self.has_more = False
        """True if the last call stopped at its bound on chunks and did not decode all bytes."""

    @property
    def buffered(self) -> int:
        """Number of bytes that are held undecoded."""
        return len(self._buffer) + len(self.following)

    @property
    def announced(self) -> int:
        """Bytes of content that the current chunk still has to bring."""
        return max(0, self._remaining - 2)

    def clear(self) -> None:
        """Free the bytes that are held; nothing more can be decoded."""
        self._buffer = self.following = b""

    def feed(self, data: bytes, max_chunks: int = NO_BOUND) -> bytes:
        """Return the content that can be decoded with these bytes.

        :param data: the next bytes of the message.
        :param max_chunks: after this number of chunks, the rest is left for the next call.
        :raises ValueError: if the bytes are malformed or continue after the last chunk.
        """
        if self.ended:
            raise ValueError("there are bytes after the last chunk")
        buffer = self._buffer + data if self._buffer else data
        parts: list[bytes] = []
        position = self._consume_remaining(buffer, parts) if self._remaining else 0
        self.has_more = False
        while position < len(buffer) and not self._remaining and not self._in_trailers:
            if len(parts) >= max_chunks:
                self.has_more = True
                break
            head = CHUNK_HEAD.match(buffer, position)
            if head is None:
                check_line(buffer, position)
                break
            size = int(head[1], 16)
            start = head.end()
            end = start + size
            if not size:
                self._in_trailers = True
                position = start
            elif buffer.startswith(b"\r\n", end):
                parts.append(buffer[start:end])
                position = end + 2
            else:
                self._remaining = size + 2
                position = start + self._consume_remaining(buffer[start:], parts)
        self._buffer = buffer[position:]
        if self._in_trailers:
            self._skip_trailers()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _consume_remaining(self, buffer: bytes, parts: list[bytes]) -> int:
        """Decode the rest of a chunk that began earlier; return the number of bytes consumed."""
        content = min(self._remaining - 2, len(buffer)) if self._remaining > 2 else 0
        if content:
            parts.append(buffer[:content])
            self._remaining -= content
        if self._remaining > 2 or len(buffer) - content < 2:
            return content
        if not buffer.startswith(b"\r\n", content):
            raise ValueError("a chunk does not end with CRLF")
        self._remaining = 0
        return content + 2

    def _skip_trailers(self) -> None:
        buffer, position = self._buffer, 0
        while not self.ended:
            end = buffer.find(b"\r\n", position)
            if end < 0:
                check_line(buffer, position, any_line=True)
                break
            self.ended = end == position
            position = end + 2
        self._trailer_bytes += position
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise ValueError("the trailers of a chunked message are too long")
        self._buffer = buffer[position:]
        if self.ended and self._keeps_following:
            self.following, self._buffer = self._buffer, b""
        elif self.ended and self._buffer:
            raise ValueError("there are bytes after the last chunk")


def check_line(buffer: bytes, position: int, *, any_line: bool = False) -> None:
    """Raise ``ValueError`` if a line cannot become valid with more bytes.

    :param buffer: the received bytes.
    :param position: where the line begins.
    :param any_line: true for a trailer, whose content is not checked.
    """
    if len(buffer) - position > MAX_LINE_BYTES:
        raise ValueError("a line of a chunked message is too long")
    if not any_line and buffer.find(b"\n", position) >= 0:
        raise ValueError("the size of a chunk is malformed")
