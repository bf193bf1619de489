"""Limits on what callers send."""

import attrs


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Sizes in bytes and times in seconds.

    :param max_head: longest request line with headers.
    :param max_body: longest request body.
    :param head_seconds: how long the headers of a request may take.
    :param idle_seconds: how long a connection may wait for its next request.
    """

    max_head: int = 65536
    max_body: int = 8 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 75.0
