"""Unix time that does not jump when the time of day is set."""

import time

MILLISECONDS = 1000


def read_offset() -> float:
    """Return the difference of the time of day and of the time since the boot, in seconds."""
    return time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


OFFSET = read_offset()
"""Read once: a time of day that is set later would end roll-outs early, or never."""


def read_unix_ms() -> int:
    """Return the Unix time in milliseconds, the time of a suspension included."""
    return int((OFFSET + time.clock_gettime(time.CLOCK_BOOTTIME)) * MILLISECONDS)
