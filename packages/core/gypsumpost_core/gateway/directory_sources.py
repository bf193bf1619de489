"""Decides from which peer, and when, a host fetches changes of the directory.

The load pattern: a configuration changes while connections to peers have gone silent, or while the
peer with the fastest link is slow or stopped. All hosts that do not watch the store fetch the
change at the same moment, and it has to be in force within two seconds.
"""

import math

import attrs

from gypsumpost_core.gateway.directory_source import DirectorySource
from gypsumpost_core.gateway.store_position import StorePosition

COALESCE_SECONDS = 0.1
"""Changes within this time are fetched together."""

FETCH_DELAY_SECONDS = 0.2
"""How long to wait for the store, or a peer of the own domain, to deliver a change before it is
fetched from another host that has it."""

AVOID_SECONDS = 2.0
"""How long a peer that did not reply is asked only after all others."""


@attrs.define(kw_only=True)
class DirectorySources:
    """Keeps what the peers that are ahead have said, and ranks them.

    :param own_domain: failure domain of this host.
    """

    own_domain: str
    _sources: dict[str, DirectorySource] = attrs.field(factory=dict, init=False)
    _due_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _avoid_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def put(self, source: DirectorySource, now: float, *, watching: bool) -> None:
        """Store what a peer that is ahead says.

        :param source: the peer.
        :param now: monotonic time in seconds.
        :param watching: true if this host watches the store itself.
        """
        in_own_domain = source.failure_domain == self.own_domain
        delay = COALESCE_SECONDS if in_own_domain and not watching else FETCH_DELAY_SECONDS
        self._sources[source.host_id] = source
        self._due_at.setdefault(source.host_id, now + delay)

    def drop_reached(self, version: int, endpoint_position: StorePosition) -> None:
        """Forget the peers that are no longer ahead.

        :param version: version of the configuration in force on this host.
        :param endpoint_position: position of the newest endpoint change that it knows.
        """
        for host_id, source in list(self._sources.items()):
            if not source.is_ahead(version, endpoint_position):
                self._drop(host_id)

    def record_failure(self, host_id: str, now: float) -> None:
        """Record that a peer did not deliver what it has.

        :param host_id: the peer.
        :param now: monotonic time in seconds.
        """
        self._drop(host_id)
        self._avoid_until[host_id] = now + AVOID_SECONDS

    def compute_due(self) -> float:
        """Return the monotonic time at which to fetch, infinity if no peer is ahead."""
        return min(self._due_at.values(), default=math.inf)

    def choose(self, now: float) -> DirectorySource | None:
        """Return the peer to ask, ``None`` if no peer is ahead.

        Peers of the own domain come first, as traffic between domains is expensive; among them the
        one with the fastest link, which sends a large configuration in the shortest time.

        :param now: monotonic time in seconds.
        """
        if not self._sources:
            return None
        return max(self._sources.values(), key=lambda source: self._rank(source, now))

    def _rank(self, source: DirectorySource, now: float) -> tuple[bool, bool, int]:
        return (
            now >= self._avoid_until.get(source.host_id, -math.inf),
            source.failure_domain == self.own_domain,
            source.link_mbps,
        )

    def _drop(self, host_id: str) -> None:
        del self._sources[host_id]
        del self._due_at[host_id]
