"""Index of the engines to which prompts were sent, by prompt prefix."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs


@attrs.define(kw_only=True)
class PrefixIndex:
    """Engines by prefix, so that a choice need not search the prefixes of every engine.

    :param limit: maximum number of prefixes; the least recently sent are evicted.
    """

    limit: int = 16384
    _names: OrderedDict[int, str] = attrs.field(factory=OrderedDict)

    def add(self, digests: Sequence[int], name: str) -> None:
        """Record that a prompt with these prefixes was sent to an engine."""
        for digest in digests:
            self._names[digest] = name
            self._names.move_to_end(digest)
        while len(self._names) > self.limit:
            self._names.popitem(last=False)

    def find(self, digests: Sequence[int]) -> str:
        """Return the engine to which the longest known prefix was last sent, empty if none.

        :param digests: digests of prefixes of the prompt, shortest first.
        """
        for digest in reversed(digests):
            if digest in self._names:
                return self._names[digest]
        return ""
