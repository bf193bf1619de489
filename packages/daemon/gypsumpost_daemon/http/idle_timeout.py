"""Reads the idle timeout that an endpoint names in ``Keep-Alive``."""

import re
from collections.abc import Iterable

TIMEOUT = re.compile(rb"(?:^|,)\s*timeout\s*=\s*(\d{1,6})\s*(?:,|$)", re.IGNORECASE)


def parse_idle_timeout(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Return the idle timeout in seconds, ``None`` if there is none or it cannot be read.

    :param headers: headers in lower case.
    """
    for name, value in headers:
        found = TIMEOUT.search(value) if name == b"keep-alive" else None
        if found is not None:
            return float(found[1])
    return None
