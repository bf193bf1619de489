"""Collects the parts of a body without copying them at the end."""

from io import BytesIO


class BodyBuffer:
    """A growing byte string.

    ``BytesIO`` hands its content over without a copy, unlike a list of parts that is joined.
    """

    def __init__(self) -> None:
        self._only_part: bytes | bytearray = b""
        self._content: BytesIO | None = None
        self.size = 0

    def append(self, part: bytes | bytearray) -> None:
        """Add a part at the end.

        :param part: the bytes.
        """
        if not self.size:
            self._only_part = part
        else:
            if self._content is None:
                self._content = BytesIO()
                self._content.write(self._only_part)
                self._only_part = b""
            self._content.write(part)
        self.size += len(part)

    def take(self) -> bytes:
        """Return the content and empty the buffer."""
        content = self._content.getvalue() if self._content else bytes(self._only_part)
        self.clear()
        return content

    def clear(self) -> None:
        """Free the content."""
        self._only_part = b""
        self._content = None
        self.size = 0
