"""The evidence against one request."""

from collections import deque

import attrs

from gypsumpost_core.suspicion.engine_death import EngineDeath

DISCOUNTED_LIMIT = 4
"""Discounted deaths that are remembered for each request; two make it wait."""


@attrs.define(kw_only=True)
class SuspicionRecord:
    """Deaths with a request in flight.

    :param fingerprint: digest of workspace and body.
    :param deaths: by engine and boot id.
    :param cleared_at: Unix time of the last proof of innocence; earlier deaths do not count.
    :param expires_at: Unix time at which the record expires.
    :param held_engine: engine on which a daemon runs the request isolated.
    :param held_until: Unix time until which it holds the engine.
    :param held_here: true if this daemon holds it.
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
        """Add a death; return true if it is new and not older than a proof of innocence."""
        if death.died_at <= self.cleared_at or death.get_key() in self.deaths:
            return False
        self.deaths[death.get_key()] = death
        return True

    def drop(self, keys: set[tuple[str, str]]) -> None:
        """Drop deaths that another request has caused."""
        for key in keys & self.deaths.keys():
            del self.deaths[key]

    def discount(self, keys: set[tuple[str, str]], now: float, until: float) -> None:
        """Drop deaths that had a common cause.

        Only one such event is granted. Otherwise several crash-causing requests at the same time
        would look like a common cause again and again.

        :param keys: deaths of the event so far.
        :param now: Unix time in seconds.
        :param until: end of the event if it is the first one.
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
        """Return the deaths since a Unix time, also those that had a common cause."""
        return [d for d in (*self.deaths.values(), *self._discounted) if d.died_at >= oldest]

    def clear(self, now: float) -> None:
        """Drop all evidence, because a run has shown the request to be innocent."""
        self.deaths.clear()
        self.cleared_at = now
