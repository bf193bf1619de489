"""What a process does on a signal."""

import enum


class SignalAction(enum.Enum):
    """The action for a signal.

    ``END``: exit at once, without waiting for requests. ``STOP``: begin a planned stop.
    ``RELOAD``: read the settings again. ``RELOAD_LATER``: read them once the process serves.
    ``IGNORE``: write a line and go on.
    """

    END = "end"
    STOP = "stop"
    RELOAD = "reload"
    RELOAD_LATER = "reload later"
    IGNORE = "ignore"
