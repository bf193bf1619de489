"""Detects with httpcore's trace extension whether the first byte of a request was sent."""

from collections.abc import Callable
from typing import Any

FIRST_BYTE_EVENT = "http11.send_request_headers.started"


class SentTrace:
    """Sets ``sent`` immediately before the first byte of a request is written.

    :param check: called once before the first byte; if it raises an exception, the request is not
        sent.
    """

    def __init__(self, *, check: Callable[[], None] | None = None) -> None:
        self.sent = False
        self._check = check

    async def observe(self, event: str, info: dict[str, Any]) -> None:
        """Handle an event of httpcore's trace extension.

        :param event: name of the event.
        :param info: details of the event.
        """
        if event != FIRST_BYTE_EVENT:
            return
        if self._check is not None:
            self._check()
        self.sent = True
