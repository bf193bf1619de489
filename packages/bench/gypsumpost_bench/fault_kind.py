"""Kinds of fault in a soak run."""

import enum


class FaultKind(enum.Enum):
    """A component and what happens to it."""

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
    DAEMON_SIGNALS = "daemon signals"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSE_ANSWERS = "store lose_answers"
    STORE_CUT_WATCHES = "store cut_watches"
    STORE_PARTITION = "store partition"
    CRASH_REQUEST = "request crash"

    @property
    def component(self) -> str:
        """Component that the fault affects."""
        return self.value.split()[0]

    @property
    def action(self) -> str:
        """Signal or fault, named as in ``POST /faults`` of the stand-ins."""
        return self.value.split()[1]
