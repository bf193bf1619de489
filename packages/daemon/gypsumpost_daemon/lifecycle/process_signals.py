"""Handles the signals of a daemon's process."""

import signal
from collections.abc import Callable

import trio

from gypsumpost_core.lifecycle.process_phase import ProcessPhase
from gypsumpost_core.lifecycle.signal_action import SignalAction
from gypsumpost_core.lifecycle.signal_policy import SignalPolicy
from gypsumpost_daemon.lifecycle.early_signals import HANDLED, take_recorded
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="signal")


class ProcessSignals:
    """Receives signals until the process exits, and carries out the policy for them.

    :param reload: reads the settings again; must not block.
    """

    def __init__(self, *, reload: Callable[[], None]) -> None:
        self._reload = reload
        self._policy = SignalPolicy()
        self._phase = ProcessPhase.STARTING
        self._reload_pending = False
        self.stop_requested = trio.Event()

    async def run(
        self,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive signals until cancelled, those first that arrived before the event loop ran.

        :param scope: cancelled to end the process without waiting for requests.
        """
        with trio.open_signal_receiver(*HANDLED) as signals:
            for recorded in take_recorded():
                self._handle(recorded, scope)
            task_status.started()
            async for number in signals:
                self._handle(signal.Signals(number), scope)

    def record_serving(self) -> None:
        """Record that requests are accepted from now on, and reload if that was requested."""
        self._phase = ProcessPhase.SERVING
        if self._reload_pending:
            self._reload()

    def _handle(self, number: signal.Signals, scope: trio.CancelScope) -> None:
        action = self._policy.decide(number, self._phase)
        LOG.write("received", signal=number.name, phase=self._phase.value, action=action.value)
        if action is SignalAction.END:
            scope.cancel()
        elif action is SignalAction.STOP:
            self._phase = ProcessPhase.DRAINING
            self.stop_requested.set()
        elif action is SignalAction.RELOAD:
            self._reload()
        elif action is SignalAction.RELOAD_LATER:
            self._reload_pending = True
