"""The platform's lagging list of hosts and endpoints."""

import bisect
from pathlib import Path
from typing import Any

import orjson

EMPTY_LIST: dict[str, Any] = {"hosts": [], "endpoints": []}


class LaggingList:
    """Returns the contents of a JSON file as they were some seconds ago.

    :param path: the file; it is reread at each poll.
    :param lag: seconds by which the list lags.
    """

    def __init__(self, *, path: Path, lag: float) -> None:
        self._path = path
        self._lag = lag
        self._times: list[float] = []
        self._contents: list[Any] = []

    def poll(self, now: float) -> None:
        """Read the file; a missing or partially written file is ignored until the next poll.

        :param now: current time in seconds.
        """
        try:
            content = orjson.loads(self._path.read_bytes())
        except (OSError, orjson.JSONDecodeError):
            return
        if self._contents and self._contents[-1] == content:
            return
        self._times.append(now)
        self._contents.append(content)

    def read(self, now: float) -> Any:
        """Return the list as it was ``lag`` seconds ago; the first contents have no lag.

        :param now: current time in seconds.
        """
        self.poll(now)
        if not self._contents:
            return EMPTY_LIST
        index = max(bisect.bisect_right(self._times, now - self._lag) - 1, 0)
        del self._times[:index], self._contents[:index]
        return self._contents[0]
