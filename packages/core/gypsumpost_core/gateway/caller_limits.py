"""Limits on requests and connections of callers."""

import attrs


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Maximum sizes in bytes and timeouts in seconds.

    :param max_head: maximum size of the request line and headers together.
    :param max_body: maximum size of a request body.
    :param head_seconds: timeout for receiving the headers of a request.
    :param idle_seconds: timeout for a connection that waits for its next request.
    """

    max_head: int = 65536
    max_body: int = 8 * 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 75.0
