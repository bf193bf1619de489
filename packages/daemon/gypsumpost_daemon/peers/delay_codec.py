"""Delays in messages between hosts, whose clocks differ."""

import math

MILLISECONDS = 1000
MAX_MILLISECONDS = 2**32 - 1


def encode_delay(seconds: float) -> int:
    """Return a delay in whole milliseconds, rounded up and bounded to 32 bits without a sign.

    :param seconds: the delay; a negative one has passed and becomes 0.
    """
    return math.ceil(min(MAX_MILLISECONDS, max(0.0, seconds * MILLISECONDS)))
