"""Reads the limit on requests that an endpoint names in a header."""

import math
import re
from collections.abc import Sequence

from result import Err, Ok, Result

DECIMAL = re.compile(rb"\d+(\.\d+)?")


def parse_request_limit(values: Sequence[bytes]) -> Result[float | None, str]:
    """Return the limit in requests per second, or why the header cannot be read.

    Zero is a limit: the endpoint takes no requests. Of several limits the lowest holds.

    :param values: the values of the header, one for each time that it occurs.
    :returns: ``None`` if the header is absent.
    """
    limits = []
    for value in values:
        if DECIMAL.fullmatch(value) is None:
            return Err("it is no decimal number")
        limit = float(value)
        if math.isinf(limit):
            return Err("it is too large")
        limits.append(limit)
    return Ok(min(limits, default=None))
