"""Decides what a signal does in each phase of a process.

The load pattern: operators and the platform send reloads and stops in series that overlap, under
open streams and calls. No signal but a second interrupt may cut off a request that was accepted.
"""

import signal

import attrs

from gypsumpost_core.lifecycle.process_phase import ProcessPhase
from gypsumpost_core.lifecycle.signal_action import SignalAction

ACTIONS = {
    (ProcessPhase.STARTING, signal.SIGHUP): SignalAction.RELOAD_LATER,
    (ProcessPhase.STARTING, signal.SIGTERM): SignalAction.END,
    (ProcessPhase.STARTING, signal.SIGINT): SignalAction.END,
    (ProcessPhase.SERVING, signal.SIGHUP): SignalAction.RELOAD,
    (ProcessPhase.SERVING, signal.SIGTERM): SignalAction.STOP,
    (ProcessPhase.SERVING, signal.SIGINT): SignalAction.STOP,
    (ProcessPhase.DRAINING, signal.SIGHUP): SignalAction.IGNORE,
    (ProcessPhase.DRAINING, signal.SIGTERM): SignalAction.IGNORE,
    (ProcessPhase.DRAINING, signal.SIGINT): SignalAction.IGNORE,
}


@attrs.define(kw_only=True)
class SignalPolicy:
    """Chooses the action for each signal.

    A second interrupt ends the process at once, for a person at a terminal who does not wait.
    """

    _interrupted: bool = attrs.field(default=False, init=False)

    def decide(self, number: signal.Signals, phase: ProcessPhase) -> SignalAction:
        """Return what to do on a signal.

        :param number: the signal, one of those in :data:`ACTIONS`.
        :param phase: phase of the process.
        """
        if number == signal.SIGINT and self._interrupted:
            return SignalAction.END
        self._interrupted = self._interrupted or number == signal.SIGINT
        return ACTIONS[phase, number]
