"""What is known of the prompt prefixes in an engine's cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.routing.cache_event import CacheEvent, CacheEventKind

CHOICE_CONFIDENCE = 0.8
"""Confidence in a prefix that this daemon sent there and that no event has confirmed."""

GAP_FACTOR = 0.5
"""Factor on the trust for each gap in the sequence of cache events."""

TRUST_RECOVERY = 0.1
"""Share of the missing trust that one batch of events without a gap gives back."""


@attrs.define(kw_only=True)
class PrefixMemory:
    """Prefixes that are likely cached, by own choices and by cache events.

    :param limit: most prefixes that are remembered; the oldest go first.
    :param trust: 0 to 1, lowered by gaps in the events.
    """

    limit: int
    trust: float = 1.0
    _confidence: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    _next_sequence: int | None = None

    def add_choice(self, digests: Iterable[int]) -> None:
        """Note that a prompt with these prefixes was sent to the engine."""
        for digest in digests:
            self._remember(digest, max(CHOICE_CONFIDENCE, self._confidence.get(digest, 0.0)))

    def apply_events(self, events: Sequence[CacheEvent], first_sequence: int) -> None:
        """Take in cache events.

        :param events: consecutive events.
        :param first_sequence: sequence number of the first of them.
        """
        expected = first_sequence if self._next_sequence is None else self._next_sequence
        if first_sequence > expected:
            self.trust *= GAP_FACTOR
        elif events:
            self.trust += (1 - self.trust) * TRUST_RECOVERY
        # Events before the expected number were applied already.
        for event in events[max(0, expected - first_sequence) :]:
            self._apply(event)
        self._next_sequence = max(expected, first_sequence + len(events))

    def estimate_cached_share(self, digests: Sequence[int]) -> float:
        """Return the expected share of a prompt that is cached, 0 to 1.

        :param digests: digests of growing prefixes of the prompt, shortest first.
        """
        for index in range(len(digests) - 1, -1, -1):
            confidence = self._confidence.get(digests[index])
            if confidence is not None:
                return (index + 1) / len(digests) * confidence * self.trust
        return 0.0

    def clear(self) -> None:
        """Forget everything, because the engine has restarted."""
        self._confidence.clear()
        self._next_sequence = None
        self.trust = 1.0

    def _apply(self, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.STORED:
            self._remember(event.digest, 1.0)
        elif event.kind is CacheEventKind.REMOVED:
            self._confidence.pop(event.digest, None)
        else:
            self._confidence.clear()

    def _remember(self, digest: int, confidence: float) -> None:
        self._confidence[digest] = confidence
        self._confidence.move_to_end(digest)
        if len(self._confidence) > self.limit:
            self._confidence.popitem(last=False)
