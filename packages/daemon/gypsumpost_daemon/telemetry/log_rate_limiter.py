"""Rate limit of a log."""

import attrs


@attrs.define(kw_only=True)
class LogRateLimiter:
    """Allows a number of lines per second and counts the suppressed ones.

    :param lines_per_second: maximum number of lines written per second.
    """

    lines_per_second: int
    suppressed: int = attrs.field(default=0, init=False)
    _second: int = attrs.field(default=0, init=False)
    _lines: int = attrs.field(default=0, init=False)

    def allow(self, now: float) -> bool:
        """Return whether a line may be written, and count it.

        :param now: time in seconds of a monotonic clock.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines <= self.lines_per_second:
            return True
        self.suppressed += 1
        return False
