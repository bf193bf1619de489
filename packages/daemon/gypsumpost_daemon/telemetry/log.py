"""Structured logs with a fixed prefix for each component."""

import sys
import time
from typing import Any

import eliot

from gypsumpost_core.hybrid_clock import HybridClock
from gypsumpost_daemon.telemetry.log_pipe import LogPipe
from gypsumpost_daemon.telemetry.log_rate_limiter import LogRateLimiter

CLOCK = HybridClock()
"""Clock of this process; peer messages carry it, so that logs of all daemons can be merged."""


class Log:
    """Writes one eliot message for each event of a component.

    :param prefix: the fixed prefix of the component, for example ``copy``.
    """

    host_id = ""
    rate_limiter: LogRateLimiter | None = None

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix

    def write(self, message: str, **fields: Any) -> None:
        """Write an event.

        :param message: a short sentence that describes the event.
        :param fields: values of the event; never keys or other secrets.
        """
        if Log.rate_limiter is not None and not Log.rate_limiter.allow(time.monotonic()):
            return
        eliot.log_message(
            message_type=f"gypsumpost:{self._prefix}",
            message=f"{self._prefix}: {message}",
            host_id=Log.host_id,
            clock=CLOCK.read(time.time()),
            **fields,
        )


def start_bounded_logging(host_id: str, lines_per_second: int) -> tuple[LogRateLimiter, LogPipe]:
    """Send the log to standard output at a limited rate and without blocking.

    :param host_id: name of this host, added to each event.
    :param lines_per_second: maximum number of lines written per second.
    :returns: the rate limiter and the pipe, which count the suppressed and the dropped lines.
    """
    Log.host_id = host_id
    Log.rate_limiter = LogRateLimiter(lines_per_second=lines_per_second)
    pipe = LogPipe(descriptor=sys.stdout.fileno())
    eliot.to_file(pipe)
    return Log.rate_limiter, pipe


def start_logging(host_id: str, path: str) -> None:
    """Send the log to a file or to standard output.

    :param host_id: name of this host, added to each event.
    :param path: file to append to; ``-`` for standard output.
    """
    Log.host_id = host_id
    # The file stays open until the process ends.
    file = sys.stdout if path == "-" else open(path, "a", buffering=1)  # noqa: SIM115
    eliot.to_file(file)
