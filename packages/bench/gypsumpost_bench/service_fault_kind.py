"""Kinds of fault of the stand-in service."""

import enum


class ServiceFaultKind(enum.Enum):
    """Faulty behaviour of the service.

    ``CLOSE`` runs the call and closes the connection before the answer; ``DROP`` closes it without
    running the call. A caller cannot distinguish the two. ``REFUSE`` answers 503 and asks for a
    pause of the fault's delay.
    """

    NONE = "none"
    DIE = "die"
    PAUSE = "pause"
    SLOW = "slow"
    CLOSE = "close"
    DROP = "drop"
    DRAIN = "drain"
    REFUSE = "refuse"
