"""Which engine was last given a prompt with a prefix."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs


@attrs.define(kw_only=True)
class PrefixHolders:
    """Engines by prefix, so that a choice need not look at the prefixes of every engine.

    :param limit: most prefixes that are remembered; the oldest go first.
    """

    limit: int = 16384
    _names: OrderedDict[int, str] = attrs.field(factory=OrderedDict)

    def add(self, digests: Sequence[int], name: str) -> None:
        """Note that a prompt with these prefixes was sent to an engine."""
        for digest in digests:
            self._names[digest] = name
            self._names.move_to_end(digest)
        while len(self._names) > self.limit:
            self._names.popitem(last=False)

    def find(self, digests: Sequence[int]) -> str:
        """Return the engine that got the longest known prefix last, empty if there is none.

        :param digests: digests of growing prefixes of the prompt, shortest first.
        """
        for digest in reversed(digests):
            if digest in self._names:
                return self._names[digest]
        return ""
