"""Which requests have begun to stream lately, in this failure domain and in others."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping

import attrs

DIGEST_BYTES = 8
"""Part of the digest of a request that is told to other domains, where each byte is paid for."""

ANNOUNCE_SECONDS = 3.0
"""How long a new stream is announced: several beacons, and the loss of a relay in between."""

MEMORY_SECONDS = 60.0
"""How long a stream is remembered, which is longer than callers wait for a whole answer."""

MAX_ANNOUNCED = 2048
"""Digests in a beacon, which has to fit into a datagram; the newest ones go first."""

MAX_REMEMBERED = 1 << 16
"""Digests of other domains that are remembered, the newest ones."""

NO_DOMAIN = ""
"""Stands for the domain of streams about which no host can be asked."""


@attrs.define(kw_only=True)
class BegunStreams:
    """Tells whether a caller with an equal request may come from another failure domain.

    The caller of a stream in a domain that is lost comes to a host that knows nothing else of that
    stream.
    """

    _announced: deque[tuple[float, bytes]] = attrs.field(factory=deque, init=False)
    _elsewhere: OrderedDict[tuple[bytes, str], float] = attrs.field(factory=OrderedDict, init=False)
    _domains: set[str] = attrs.field(factory=set, init=False)

    def announce(self, fingerprint: bytes, now: float) -> None:
        """Add a stream of this domain.

        :param fingerprint: digest of its request.
        :param now: monotonic time in seconds at which it was heard of.
        """
        self._announced.append((now, fingerprint[:DIGEST_BYTES]))
        self._drop_announced(now)

    def list_announced(self, now: float) -> tuple[bytes, ...]:
        """Return the digests to tell the other domains.

        :param now: monotonic time in seconds.
        """
        self._drop_announced(now)
        newest = dict.fromkeys(digest for _, digest in reversed(self._announced))
        return tuple(newest)[:MAX_ANNOUNCED]

    def put_elsewhere(self, domain: str, digests: Iterable[bytes], now: float) -> None:
        """Add digests of streams of which this host knows nothing else.

        :param domain: failure domain whose hosts know them.
        :param digests: the digests.
        :param now: monotonic time in seconds.
        """
        self._domains.add(domain)
        for digest in digests:
            self._elsewhere[digest, domain] = now
            self._elsewhere.move_to_end((digest, domain))
        while self._elsewhere and (
            len(self._elsewhere) > MAX_REMEMBERED
            or next(iter(self._elsewhere.values())) < now - MEMORY_SECONDS
        ):
            self._elsewhere.popitem(last=False)

    def list_elsewhere(self) -> Mapping[str, tuple[bytes, ...]]:
        """Return the digests of other domains by domain."""
        found: dict[str, list[bytes]] = {}
        for digest, domain in self._elsewhere:
            found.setdefault(domain, []).append(digest)
        return {domain: tuple(digests) for domain, digests in found.items()}

    def list_domains(self, fingerprint: bytes, now: float) -> list[str]:
        """Return the other domains in which an equal request has begun to stream lately.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        return [
            domain
            for domain in sorted(self._domains)
            if now < self._get_time(fingerprint, domain) + MEMORY_SECONDS
        ]

    def _get_time(self, fingerprint: bytes, domain: str) -> float:
        return self._elsewhere.get((fingerprint[:DIGEST_BYTES], domain), -math.inf)

    def _drop_announced(self, now: float) -> None:
        while self._announced and self._announced[0][0] < now - ANNOUNCE_SECONDS:
            self._announced.popleft()
