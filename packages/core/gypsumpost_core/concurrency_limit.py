"""The adaptive limit on generations in flight."""

import attrs

DECREASE = 0.9
"""Factor on the limit when first tokens come late."""

INCREASE = 0.02
"""Added to the factor when the limit is reached and first tokens come in time."""

ADAPTATION_INTERVAL = 1.0
"""Seconds between changes, so that one burst of late tokens counts once."""

LOWEST_FACTOR = 0.25
HIGHEST_FACTOR = 2.0


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """This daemon's share of the live engines' batch slots, adapted by first token times.

    The share is a guess, because daemons get unequal load. Late first tokens show that the engines
    queue, and lower the limit.

    :param first_token_target: seconds within which first tokens should come.
    :param capacity: this daemon's share of the batch slots of the live engines.
    """

    first_token_target: float = 0.84
    capacity: float = 32.0
    _factor: float = 1.0
    _changed_at: float = float("-inf")

    def get_limit(self) -> int:
        """Return the most generations in flight."""
        return max(1, int(self.capacity * self._factor))

    def observe_first_token(self, wait: float, in_flight: int, now: float) -> None:
        """Adapt the limit to the time to a first token.

        :param wait: seconds from sending to the first token.
        :param in_flight: generations in flight.
        :param now: process time in seconds.
        """
        if now - self._changed_at < ADAPTATION_INTERVAL:
            return
        if wait > self.first_token_target:
            self._change(max(LOWEST_FACTOR, self._factor * DECREASE), now)
        elif in_flight >= self.get_limit():
            self._change(min(HIGHEST_FACTOR, self._factor + INCREASE), now)

    def _change(self, factor: float, now: float) -> None:
        self._factor = factor
        self._changed_at = now
