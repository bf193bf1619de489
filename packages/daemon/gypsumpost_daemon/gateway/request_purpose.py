"""What a host sends a request to an endpoint for."""

import enum


class RequestPurpose(enum.Enum):
    """Everything that reaches an endpoint counts towards its limit, not only callers' requests."""

    CALL = "call"
    STREAM = "stream"
    RESUMPTION = "resumption"
    HEALTH = "health"
    REPORT = "report"
    COPY = "copy"
