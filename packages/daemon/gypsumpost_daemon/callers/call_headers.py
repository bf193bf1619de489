"""Parsing of callers' request headers."""

import math

from gypsumpost_daemon.http.http_call import HttpCall

LARGEST_PRIORITY = 100


def read_deadline(call: HttpCall, default: float) -> float | None:
    """Return the deadline in Unix seconds, ``None`` if the header is not a finite number.

    :param call: the request.
    :param default: deadline in Unix seconds if the header is missing.
    """
    text = call.headers.get("x-request-deadline", "")
    try:
        deadline = float(text) if text else default
    except ValueError:
        return None
    return deadline if math.isfinite(deadline) else None


def read_priority(call: HttpCall) -> int | None:
    """Return the priority, ``None`` if the header is not an integer in the accepted range.

    :param call: the request.
    """
    text = call.headers.get("x-request-priority", "0")
    try:
        value = int(text)
    except ValueError:
        return None
    return value if abs(value) <= LARGEST_PRIORITY else None
