"""Tests of what signals do in each phase of a process."""

import itertools
import signal

from gypsumpost_core.lifecycle.process_phase import ProcessPhase
from gypsumpost_core.lifecycle.signal_action import SignalAction
from gypsumpost_core.lifecycle.signal_policy import SignalPolicy

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def test_each_signal_has_an_action_in_each_phase() -> None:
    """Guards against a signal whose default action ends the process in some phase."""
    for phase, number in itertools.product(ProcessPhase, HANDLED):
        assert isinstance(SignalPolicy().decide(number, phase), SignalAction)


def test_only_a_second_interrupt_cuts_off_requests() -> None:
    """Guards against requests that are cut off by a reload or a second stop during the drain."""
    policy = SignalPolicy()
    assert policy.decide(signal.SIGTERM, ProcessPhase.SERVING) is SignalAction.STOP
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
        assert policy.decide(number, ProcessPhase.DRAINING) is SignalAction.IGNORE
    assert policy.decide(signal.SIGINT, ProcessPhase.DRAINING) is SignalAction.END
