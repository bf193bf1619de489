"""Non-blocking writer of log lines."""

import os
from collections import deque

BUFFERED_LINES = 2000


class LogPipe:
    """File for eliot that writes to a non-blocking descriptor.

    While the reader is slow, up to ``BUFFERED_LINES`` lines are buffered; beyond that the oldest
    lines are dropped and counted. The buffer is written with the next line.

    :param descriptor: descriptor of the pipe or file.
    """

    def __init__(self, *, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write a line, or buffer it while the descriptor would block.

        :param line: the encoded line with its newline.
        """
        if line:
            self._lines.append(line)
            if len(self._lines) > BUFFERED_LINES:
                # The first line stays, as it may have been written partially.
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
        """Do nothing; buffered lines are written with the next line."""
