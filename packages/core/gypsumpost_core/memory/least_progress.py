"""Ends transfers that are slower than a least rate."""

import attrs


@attrs.define(kw_only=True)
class LeastProgress:
    """Demands a number of bytes within each window of time.

    Answers the load of callers that send or read single bytes to keep their requests open. The time
    between single bytes does not matter, so a slow caller may pause.

    :param least: bytes that must pass within a window.
    :param seconds: length of a window.
    :param now: monotonic time in seconds at which the first window begins.
    """

    least: float
    seconds: float
    now: float
    deadline: float = attrs.field(init=False)
    _passed: int = attrs.field(default=0, init=False)

    @deadline.default
    def _start(self) -> float:
        return self.now + self.seconds

    def record(self, amount: int, now: float) -> None:
        """Note that bytes have passed.

        :param amount: number of bytes.
        :param now: monotonic time in seconds.
        """
        self._passed += amount
        if self._passed >= self.least:
            self._passed = 0
            self.deadline = now + self.seconds

    def excuse(self, seconds: float) -> None:
        """Give more time, for a wait that the other side did not cause.

        :param seconds: the length of the wait.
        """
        self.deadline += seconds
