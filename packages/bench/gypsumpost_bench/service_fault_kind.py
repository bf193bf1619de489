"""Kinds of fault of the stand-in service."""

import enum


class ServiceFaultKind(enum.Enum):
    """What the service does wrong.

    ``CLOSE`` runs the call and closes the connection before the answer; ``DROP`` closes it without
    running the call. A caller cannot tell one from the other.
    """

    NONE = "none"
    DIE = "die"
    PAUSE = "pause"
    SLOW = "slow"
    CLOSE = "close"
    DROP = "drop"
    DRAIN = "drain"
