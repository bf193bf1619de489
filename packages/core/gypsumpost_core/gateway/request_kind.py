"""What may be repeated of a request."""

import enum


class RequestKind(enum.Enum):
    """The kind that a route gives its requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
