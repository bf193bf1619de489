"""Structured logs with a fixed prefix for each part."""

import sys
import time
from typing import Any

import eliot

from gypsumpost_core.hybrid_clock import HybridClock

CLOCK = HybridClock()
"""The clock of this process; peer messages carry it, so that logs of all daemons can be merged."""


class Log:
    """Writes one eliot message for each event of a part.

    :param prefix: the fixed prefix of the part, for example ``copy``.
    """

    host_id = ""

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix

    def write(self, sentence: str, **fields: Any) -> None:
        """Write an event.

        :param sentence: a short sentence.
        :param fields: values of the event; never keys or other secrets.
        """
        eliot.log_message(
            message_type=f"gypsumpost:{self._prefix}",
            message=f"{self._prefix}: {sentence}",
            host_id=Log.host_id,
            clock=CLOCK.read(time.time()),
            **fields,
        )


def start_logging(host_id: str, path: str) -> None:
    """Send the log to a file or to standard output.

    :param host_id: name of this host, added to each event.
    :param path: file to append to; ``-`` for standard output.
    """
    Log.host_id = host_id
    # The file stays open until the process ends.
    file = sys.stdout if path == "-" else open(path, "a", buffering=1)  # noqa: SIM115
    eliot.to_file(file)
