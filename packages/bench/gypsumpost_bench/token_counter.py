"""Count of produced tokens that remains readable after the engine is killed."""

import os
from pathlib import Path

COUNT_BYTES = 8


class TokenCounter:
    """Writes the count to a file at each token, so that it is exact at any time.

    :param path: the file, ``None`` for no count.
    """

    def __init__(self, *, path: str | None) -> None:
        self._file = None if path is None else os.open(path, os.O_RDWR | os.O_CREAT)
        self._count = 0

    def add(self) -> None:
        """Count one token."""
        if self._file is not None:
            self._count += 1
            os.pwrite(self._file, self._count.to_bytes(COUNT_BYTES, "big"), 0)


def read_count(path: Path) -> int:
    """Return the count of an engine, running or not; 0 without a file.

    :param path: the engine's counter file.
    """
    return int.from_bytes(path.read_bytes(), "big") if path.exists() else 0
