"""Estimated contents of an engine's prefix cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.routing.cache_event import CacheEvent, CacheEventKind

SENT_CONFIDENCE = 0.8
"""Confidence that a prefix sent by this daemon is cached, without a cache event for it."""

GAP_FACTOR = 0.5
"""Factor applied to the trust for each gap in the sequence of cache events."""

TRUST_RECOVERY = 0.1
"""Share of the lost trust that each batch of events without a gap restores."""


@attrs.define(kw_only=True)
class PrefixEstimate:
    """Prefixes that are probably cached, inferred from own attempts and from cache events.

    :param limit: maximum number of prefixes; the least recently updated are evicted.
    :param trust: factor on all estimates, 0 to 1; lowered by gaps in the events.
    """

    limit: int
    trust: float = 1.0
    _confidence: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    _next_sequence: int | None = None

    def add_sent(self, digests: Iterable[int]) -> None:
        """Record that this daemon sent a prompt with these prefixes to the engine."""
        for digest in digests:
            self._set_confidence(digest, max(SENT_CONFIDENCE, self._confidence.get(digest, 0.0)))

    def apply_events(self, events: Sequence[CacheEvent], first_sequence: int) -> None:
        """Apply cache events.

        :param events: consecutive events.
        :param first_sequence: sequence number of the first of them.
        """
        expected = first_sequence if self._next_sequence is None else self._next_sequence
        if first_sequence > expected:
            self.trust *= GAP_FACTOR
        elif events:
            self.trust += (1 - self.trust) * TRUST_RECOVERY
        # Events before the expected sequence number were applied earlier.
        for event in events[max(0, expected - first_sequence) :]:
            self._apply(event)
        self._next_sequence = max(expected, first_sequence + len(events))

    def estimate_cached_share(self, digests: Sequence[int]) -> float:
        """Return the expected share of a prompt that is cached, 0 to 1.

        :param digests: digests of prefixes of the prompt, shortest first.
        """
        for index in range(len(digests) - 1, -1, -1):
            confidence = self._confidence.get(digests[index])
            if confidence is not None:
                return (index + 1) / len(digests) * confidence * self.trust
        return 0.0

    def clear(self) -> None:
        """Discard everything after a restart of the engine."""
        self._confidence.clear()
        self._next_sequence = None
        self.trust = 1.0

    def _apply(self, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.STORED:
            self._set_confidence(event.digest, 1.0)
        elif event.kind is CacheEventKind.REMOVED:
            self._confidence.pop(event.digest, None)
        else:
            self._confidence.clear()

    def _set_confidence(self, digest: int, confidence: float) -> None:
        self._confidence[digest] = confidence
        self._confidence.move_to_end(digest)
        if len(self._confidence) > self.limit:
            self._confidence.popitem(last=False)
