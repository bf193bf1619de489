"""Engine deaths counted against one request."""

from collections import deque

import attrs

from gypsumpost_core.suspicion.engine_death import EngineDeath

DISCOUNTED_LIMIT = 4
"""Discounted deaths kept for each request; two recent ones make it wait."""


@attrs.define(kw_only=True)
class SuspicionRecord:
    """Engine deaths while a request was in flight.

    :param fingerprint: digest of workspace, kind and body.
    :param deaths: deaths that count against the request, by engine and boot id.
    :param cleared_at: Unix time in seconds at which the request was last cleared; earlier deaths do
        not count.
    :param expires_at: Unix time in seconds at which the record expires.
    :param held_engine: engine that a daemon holds for an isolated run of the request.
    :param held_until: Unix time in seconds until which the engine is held.
    :param held_here: true if this daemon holds the engine.
    """

    fingerprint: str
    deaths: dict[tuple[str, str], EngineDeath] = attrs.field(factory=dict)
    cleared_at: float = float("-inf")
    expires_at: float = 0.0
    held_engine: str = ""
    held_until: float = 0.0
    held_here: bool = False
    _discounted: deque[EngineDeath] = attrs.field(factory=lambda: deque(maxlen=DISCOUNTED_LIMIT))
    _discount_until: float | None = None

    def add(self, death: EngineDeath) -> bool:
        """Add a death; return false if it is known or the request was cleared after it."""
        if death.died_at <= self.cleared_at or death.get_key() in self.deaths:
            return False
        self.deaths[death.get_key()] = death
        return True

    def drop(self, keys: set[tuple[str, str]]) -> None:
        """Remove deaths that are attributed to another request."""
        for key in keys & self.deaths.keys():
            del self.deaths[key]

    def discount(self, keys: set[tuple[str, str]], now: float, until: float) -> None:
        """Stop counting deaths that had a common cause.

        A request benefits from only one such event. Otherwise several crash-causing requests that
        run at the same time would look like a common cause repeatedly.

        :param keys: deaths of the event so far.
        :param now: Unix time in seconds.
        :param until: Unix time in seconds at which the event ends, if it is the first one.
        """
        if not keys & self.deaths.keys():
            return
        if self._discount_until is None:
            self._discount_until = until
        if now > self._discount_until:
            return
        for key in keys & self.deaths.keys():
            self._discounted.append(self.deaths.pop(key))

    def list_since(self, oldest: float) -> list[EngineDeath]:
        """Return the deaths since a Unix time, including those with a common cause."""
        return [d for d in (*self.deaths.values(), *self._discounted) if d.died_at >= oldest]

    def clear(self, now: float) -> None:
        """Remove all deaths, because a run has shown that the request does not crash engines."""
        self.deaths.clear()
        self.cleared_at = now
