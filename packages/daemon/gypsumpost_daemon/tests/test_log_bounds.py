"""Tests of the log under load and with a reader that has stopped."""

import fcntl
import os

from gypsumpost_daemon.telemetry.log_pipe import BUFFERED_LINES, LogPipe
from gypsumpost_daemon.telemetry.log_rate_limiter import LogRateLimiter


def test_a_flood_is_bounded_and_counted():
    """Guards against logging that uses up the processor under load."""
    limiter = LogRateLimiter(lines_per_second=10)
    written = sum(limiter.allow(5.0 + n / 1000) for n in range(500))
    assert written == 10 and limiter.suppressed == 490
    assert limiter.allow(6.0)


def test_a_reader_that_stops_blocks_nobody():
    """Guards against requests that block because the log is not read."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    pipe = LogPipe(descriptor=writer)
    lines = [b"%06d %b\n" % (n, b"x" * 90) for n in range(BUFFERED_LINES + 500)]
    for line in lines:
        pipe.write(line)
    assert 0 < pipe.dropped < 500
    os.set_blocking(reader, False)
    received = b""
    for _ in range(10_000):
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            break
        pipe.write(b"")
    numbers = [int(line[:6]) for line in received.splitlines()]
    assert numbers == sorted(numbers) and numbers[0] == 0 and numbers[-1] == len(lines) - 1
    assert all(len(line) == 97 for line in received.splitlines())
    os.close(reader)
    os.close(writer)
