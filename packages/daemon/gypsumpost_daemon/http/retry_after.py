"""Reads for how long a server wants no requests."""

import math

UNAVAILABLE = 503
"""Status with which a server may ask for a pause."""

MAX_PAUSE_SECONDS = 600.0
"""A faulty endpoint may ask for a pause without end."""


def parse_retry_after(value: bytes) -> float | None:
    """Return a pause in seconds, at most ``MAX_PAUSE_SECONDS``.

    Fractions are accepted and zero is no pause; dates, negative numbers and all else are ``None``.

    :param value: value of the header.
    """
    try:
        seconds = float(value.decode("ascii"))
    except (ValueError, UnicodeDecodeError):
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_PAUSE_SECONDS)
