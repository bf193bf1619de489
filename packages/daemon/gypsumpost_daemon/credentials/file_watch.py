"""Detects changes of files."""

import os
from collections.abc import Sequence

import attrs

CHECK_INTERVAL = 2.0
"""Seconds between two checks of the files."""

State = tuple[tuple[int, int, int] | None, ...]


@attrs.define(kw_only=True)
class FileWatch:
    """Compares the state of files with that at the last check.

    :param paths: the files.
    """

    paths: Sequence[str]
    _state: State = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._state = self._read_state()

    def has_changed(self) -> bool:
        """Return whether a file has changed since the last check."""
        state = self._read_state()
        changed = state != self._state
        self._state = state
        return changed

    def _read_state(self) -> State:
        return tuple(map(_describe_file, self.paths))


def _describe_file(path: str) -> tuple[int, int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
