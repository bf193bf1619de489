"""Kinds of caller in a soak run."""

import enum


class CallerKind(enum.Enum):
    """Behaviour of a caller.

    ``REPEAT`` sends the same POST with one idempotency key twice, at the same time or up to a
    second apart; ``RECONNECT`` drops its own connections; ``CRASH`` sends a prompt that crashes
    each engine that runs it.
    """

    STREAM = "stream"
    RECONNECT = "reconnect"
    REPEAT = "repeat"
    SLOW = "slow"
    DISAPPEAR = "disappear"
    CRASH = "crash"
