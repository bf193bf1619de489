"""Bounds how often a line about the same thing is logged."""

import attrs


@attrs.define(kw_only=True)
class LineLimiter:
    """Allows one line about a thing in a span of time.

    :param seconds: the span.
    """

    seconds: float
    _silent_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def allow(self, name: str, now: float) -> bool:
        """Return true if a line may be written now.

        :param name: what the line is about.
        :param now: monotonic time in seconds.
        """
        if now < self._silent_until.get(name, now):
            return False
        self._silent_until = {name: at for name, at in self._silent_until.items() if now < at}
        self._silent_until[name] = now + self.seconds
        return True
