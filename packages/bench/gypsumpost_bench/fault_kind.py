"""Kinds of fault in a soak run."""

import enum


class FaultKind(enum.Enum):
    """What is done to which part."""

    ENGINE_KILL = "engine kill"
    ENGINE_PAUSE = "engine pause"
    ENGINE_STALL = "engine stall"
    ENGINE_REFUSE = "engine refuse"
    ENGINE_SLOW = "engine slow"
    ENGINE_LEAVE = "engine leave"
    ENGINE_CRASH = "engine crash"
    SERVICE_KILL = "service kill"
    SERVICE_PAUSE = "service pause"
    SERVICE_CLOSE = "service close"
    SERVICE_DROP = "service drop"
    SERVICE_SLOW = "service slow"
    DAEMON_KILL = "daemon kill"
    DAEMON_PAUSE = "daemon pause"
    DAEMON_STOP = "daemon stop"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSE_ANSWERS = "store lose_answers"
    STORE_CUT_WATCHES = "store cut_watches"
    STORE_PARTITION = "store partition"
    CRASH_REQUEST = "request crash"

    @property
    def part(self) -> str:
        """Which part the fault is done to."""
        return self.value.split()[0]

    @property
    def action(self) -> str:
        """What is done, in the words of the stand-ins' fault orders."""
        return self.value.split()[1]
