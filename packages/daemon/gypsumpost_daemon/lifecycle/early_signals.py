"""Records signals that arrive before and after the event loop handles them.

Imports nothing that takes time: the process must not be without handlers while it loads its code.
"""

import signal
from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

RECORDED: list[signal.Signals] = []
"""The signals received so far, the oldest first."""


def record_signals() -> None:
    """Record the handled signals from now on, in place of their default action."""
    for number in HANDLED:
        signal.signal(number, _record)


def ignore_signals() -> None:
    """Ignore the handled signals.

    The interpreter restores the default action of recorded ones when it ends, not of ignored ones.
    """
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def take_recorded() -> list[signal.Signals]:
    """Return the recorded signals and forget them."""
    taken = list(RECORDED)
    RECORDED.clear()
    return taken


def _record(number: int, frame: FrameType | None) -> None:
    RECORDED.append(signal.Signals(number))
