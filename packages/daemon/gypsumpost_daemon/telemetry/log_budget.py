"""Bounds the volume of a log."""

import attrs


@attrs.define(kw_only=True)
class LogBudget:
    """Allows a number of lines in each second and counts what it left out.

    :param lines_per_second: lines that are written in one second at most.
    """

    lines_per_second: int
    left_out: int = attrs.field(default=0, init=False)
    _second: int = attrs.field(default=0, init=False)
    _lines: int = attrs.field(default=0, init=False)

    def take(self, now: float) -> bool:
        """Return true if a line may be written.

        :param now: time in seconds of any clock that does not run backwards.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines <= self.lines_per_second:
            return True
        self.left_out += 1
        return False
