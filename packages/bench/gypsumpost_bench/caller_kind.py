"""Kinds of caller in a soak run."""

import enum


class CallerKind(enum.Enum):
    """What a caller does.

    ``REPEAT`` sends a POST with the same key at two daemons at once; ``RECONNECT`` drops its own
    connections; ``CRASH`` sends a prompt that crashes each engine that runs it.
    """

    STREAM = "stream"
    RECONNECT = "reconnect"
    REPEAT = "repeat"
    SLOW = "slow"
    DISAPPEAR = "disappear"
    CRASH = "crash"
