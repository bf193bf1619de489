"""Decides when a host asks the store for changes that its peers name and do not send.

The load pattern: a change is made while connections to peers have gone silent, or while the peer
that all hosts of a domain ask first is suspended. Most hosts get the change from the next peer.
"""

import random
from collections.abc import Collection

import attrs

ASK_SECONDS = 0.9
"""Time after which peers have had one chance, and enough is left to apply a change within two
seconds."""

SPREAD_SECONDS = 0.3
SPREAD_PER_HOST_SECONDS = 0.02
"""Spread of the questions of a domain, at least ``SPREAD_SECONDS``, so that few hosts ask before
the next peer has replied."""

REPEAT_SECONDS = 2.0
BELIEF_SECONDS = 1.6
"""How long a change is believed to exist that no beacon names again."""


@attrs.define(kw_only=True)
class LateChanges:
    """Keeps the prefixes under which peers name changes that this host lacks.

    :param rng: random number generator that spreads the questions of hosts over time.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    _ask_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _believed_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_named(self, prefixes: Collection[str], hosts: int, now: float) -> None:
        """Record that a peer has changes which this host lacks.

        :param prefixes: prefixes of the keys.
        :param hosts: number of hosts of the domain.
        :param now: monotonic time in seconds.
        """
        for prefix in prefixes:
            self._believed_until[prefix] = now + BELIEF_SECONDS
            if prefix not in self._ask_at:
                self._ask_at[prefix] = now + ASK_SECONDS + self._draw_spread(hosts)

    def take_due(self, lacking: Collection[str], hosts: int, now: float) -> list[str]:
        """Return the prefixes to ask the store for now.

        :param lacking: prefixes under which changes are still lacking.
        :param hosts: number of hosts of the domain.
        :param now: monotonic time in seconds.
        """
        due = []
        for prefix, ask_at in list(self._ask_at.items()):
            if prefix not in lacking or now >= self._believed_until[prefix]:
                del self._ask_at[prefix]
            elif now >= ask_at:
                due.append(prefix)
                self._ask_at[prefix] = now + REPEAT_SECONDS + self._draw_spread(hosts)
        return due

    def _draw_spread(self, hosts: int) -> float:
        return self.rng.uniform(0.0, max(SPREAD_SECONDS, SPREAD_PER_HOST_SECONDS * hosts))
