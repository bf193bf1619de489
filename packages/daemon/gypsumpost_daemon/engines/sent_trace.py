"""Detects with httpcore's trace extension how much of a request was sent."""

from collections.abc import Callable
from typing import Any

FIRST_BYTE_EVENT = "http11.send_request_headers.started"
LAST_BYTE_EVENT = "http11.send_request_body.complete"


class SentTrace:
    """Sets ``sent`` before the first byte of a request is written, ``complete`` after the last.

    httpcore hides an error of the connection while it writes a request, and reads the answer. That
    error is reported once, so an answer that was reset then seems to end regularly.

    :param check: called once before the first byte; if it raises an exception, the request is not
        sent.
    """

    def __init__(self, *, check: Callable[[], None] | None = None) -> None:
        self.sent = False
        self.complete = False
        self._check = check

    async def observe(self, event: str, info: dict[str, Any]) -> None:
        """Handle an event of httpcore's trace extension.

        :param event: name of the event.
        :param info: details of the event.
        """
        if event == LAST_BYTE_EVENT:
            self.complete = True
        if event != FIRST_BYTE_EVENT:
            return
        if self._check is not None:
            self._check()
        self.sent = True
