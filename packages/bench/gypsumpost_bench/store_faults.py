"""Injected faults of the stand-in store."""

from collections.abc import Callable

from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind


class StoreFaults:
    """The active faults; several can be active at the same time."""

    def __init__(self) -> None:
        self._faults: list[StoreFault] = []
        self._listeners: list[Callable[[], None]] = []

    def inject(self, fault: StoreFault) -> None:
        """Add a fault; ``NONE`` ends all faults.

        :param fault: the fault.
        """
        if fault.kind is StoreFaultKind.NONE:
            self._faults.clear()
        else:
            self._faults.append(fault)
        for listener in list(self._listeners):
            listener()

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a function that is called when faults are added or cleared.

        :param listener: the function; it must not block.
        :returns: a function that removes the listener.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def is_refusing(self, domain: str, now: float) -> bool:
        """Return whether a call is refused before it has any effect.

        :param domain: failure domain of the caller.
        :param now: current time in seconds.
        """
        if self._find(StoreFaultKind.DOWN, now):
            return True
        cuts = self._find(StoreFaultKind.PARTITION, now)
        return any(fault.domain == domain for fault in cuts)

    def is_losing_answers(self, now: float) -> bool:
        """Return whether calls take effect but their answers are lost.

        :param now: current time in seconds.
        """
        return bool(self._find(StoreFaultKind.LOSE_ANSWERS, now))

    def is_cutting_watches(self, now: float) -> bool:
        """Return whether watches are ended and new ones refused.

        :param now: current time in seconds.
        """
        return bool(self._find(StoreFaultKind.CUT_WATCHES, now))

    def compute_delay(self, now: float) -> float:
        """Return the total delay of a call in seconds.

        :param now: current time in seconds.
        """
        return sum(fault.delay for fault in self._find(StoreFaultKind.SLOW, now))

    def _find(self, kind: StoreFaultKind, now: float) -> list[StoreFault]:
        self._faults = [fault for fault in self._faults if now < fault.until]
        return [fault for fault in self._faults if fault.kind is kind]
