"""Memory limit for finished answers, with eviction in order of completion."""

from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class ReplayBudget:
    """Limits the memory of finished answers that are retained for callers that reconnect.

    :param max_bytes: maximum number of bytes to retain.
    """

    max_bytes: int
    _sizes: dict[str, int] = attrs.field(factory=dict, init=False)
    _total: int = attrs.field(default=0, init=False)

    @property
    def total(self) -> int:
        """Bytes of all retained answers."""
        return self._total

    def add(self, generation_id: str, size: int) -> None:
        """Add the answer of a generation that has just finished.

        :param generation_id: the generation.
        :param size: size of its state in bytes.
        """
        self.remove(generation_id)
        self._sizes[generation_id] = size
        self._total += size

    def remove(self, generation_id: str) -> None:
        """Remove an answer; does nothing if it is not retained.

        :param generation_id: the generation.
        """
        self._total -= self._sizes.pop(generation_id, 0)

    def choose_evictions(self, is_in_use: Callable[[str], bool]) -> list[str]:
        """Return the answers to evict, earliest finished first.

        :param is_in_use: returns true for a generation that a reader keeps in memory anyway; it is
            not evicted.
        """
        excess = self._total - self.max_bytes
        chosen: list[str] = []
        for generation_id, size in self._sizes.items():
            if excess <= 0:
                break
            if not is_in_use(generation_id):
                chosen.append(generation_id)
                excess -= size
        return chosen
