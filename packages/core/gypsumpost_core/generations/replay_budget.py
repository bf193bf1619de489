"""Choice of the finished answers to drop when they take too much memory."""

from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class ReplayBudget:
    """Bounds the bytes of finished answers that are kept for callers that reconnect.

    :param max_bytes: most bytes to keep.
    """

    max_bytes: int
    _sizes: dict[str, int] = attrs.field(factory=dict, init=False)
    _total: int = attrs.field(default=0, init=False)

    @property
    def total(self) -> int:
        """Bytes of all kept answers."""
        return self._total

    def add(self, generation_id: str, size: int) -> None:
        """Keep the answer of a generation that has just finished.

        :param generation_id: the generation.
        :param size: bytes of its state.
        """
        self.remove(generation_id)
        self._sizes[generation_id] = size
        self._total += size

    def remove(self, generation_id: str) -> None:
        """Forget an answer, also one that is not kept.

        :param generation_id: the generation.
        """
        self._total -= self._sizes.pop(generation_id, 0)

    def choose_excess(self, is_in_use: Callable[[str], bool]) -> list[str]:
        """Return the answers to drop, earliest finished first.

        :param is_in_use: true for a generation whose memory a reader holds in any case.
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
