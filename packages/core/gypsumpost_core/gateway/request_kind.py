"""Kinds of requests, which determine whether a request may be retried."""

import enum


class RequestKind(enum.Enum):
    """Kind of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
