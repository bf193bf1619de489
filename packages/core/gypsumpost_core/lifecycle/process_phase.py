"""Phases of a daemon's process."""

import enum


class ProcessPhase(enum.Enum):
    """What the process is doing.

    ``STARTING``: no request is accepted yet. ``SERVING``: requests are accepted. ``DRAINING``: a
    planned stop has begun, and accepted requests are answered.
    """

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
