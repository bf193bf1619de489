"""What a host holds memory for."""

from enum import Enum


class HeldKind(Enum):
    """Kinds of memory that a host holds for callers and endpoints.

    A host lets go of a holder for the sake of others only if its kind is :attr:`releasable`.
    """

    INCOMPLETE_BODY = "incomplete-body"
    """Request bodies that have not arrived completely, with the fields of their heads."""

    KEPT_BODY = "kept-body"
    """Complete requests, kept until they are answered, for further attempts."""

    UNREAD_ANSWER = "unread-answer"
    """Answers that wait for their callers to read."""

    ENDPOINT_ANSWER = "endpoint-answer"
    """Answers of endpoints that have not arrived completely."""

    INCOMPLETE_HEAD = "incomplete-head"
    """Headers of requests that have not arrived completely."""

    READ_AHEAD = "read-ahead"
    """Input that follows the request that is being answered."""

    @property
    def releasable(self) -> bool:
        """True if the host may let go of it for the sake of others."""
        return self in RELEASABLE


RELEASABLE = frozenset({HeldKind.INCOMPLETE_BODY, HeldKind.INCOMPLETE_HEAD, HeldKind.UNREAD_ANSWER})
