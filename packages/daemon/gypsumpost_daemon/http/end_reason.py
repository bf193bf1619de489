"""Why a server refuses a request or closes a connection."""

from enum import Enum


class EndReason(Enum):
    """Labels of metrics and log lines."""

    MEMORY = "memory"
    """The memory for callers is used up."""

    LONG_BODY = "long-body"
    """The body is longer than its limit."""

    COSTLY_FRAMING = "costly-framing"
    """Many bodies wait to be decoded, and this one has far more framing than content."""

    SLOW_BODY = "slow-body"
    """The body arrives below the least rate."""

    SLOW_HEAD = "slow-head"
    """The head does not arrive in time."""

    SLOW_READER = "slow-reader"
    """The caller reads its answer below the least rate."""

    CONNECTIONS = "connections"
    """There are too many connections."""
