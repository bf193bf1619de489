"""Writes log lines without ever waiting for their reader."""

import os
from collections import deque

BUFFERED_LINES = 2000


class LogPipe:
    """A file for eliot on a descriptor that does not block.

    Lines that the reader does not take are kept up to a bound; beyond it they are dropped and
    counted. What is kept is written with the next line.

    :param descriptor: descriptor of the pipe or file.
    """

    def __init__(self, *, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write a line, or keep it until the reader takes more.

        :param line: the encoded line with its line break.
        """
        if line:
            self._lines.append(line)
            if len(self._lines) > BUFFERED_LINES:
                # The first line may have been written in part.
                del self._lines[1]
                self.dropped += 1
        while self._lines:
            try:
                written = os.write(self._descriptor, self._lines[0])
            except BlockingIOError:
                break
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
                break
            self._lines.popleft()
        return len(line)

    def flush(self) -> None:
        """Do nothing; lines are written at once or when the reader takes more."""
