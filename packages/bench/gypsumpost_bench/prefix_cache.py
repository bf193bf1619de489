"""Prefix cache of the engine stand-in."""

from collections import OrderedDict

import xxhash

BLOCK_TOKENS = 64


class PrefixCache:
    """LRU cache of blocks of prompt prefixes, with the cache events of an engine.

    :param capacity: maximum number of blocks.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, object]] = []

    @property
    def used(self) -> float:
        """Used fraction of the capacity."""
        return len(self._blocks) / self._capacity

    def add_prompt(self, prompt: list[int]) -> int:
        """Look up and store the blocks of a prompt.

        :param prompt: prompt token ids.
        :returns: number of tokens at the start of the prompt that were cached.
        """
        cached = 0
        is_prefix_cached = True
        for digest in compute_block_digests(prompt):
            is_prefix_cached = is_prefix_cached and digest in self._blocks
            cached += BLOCK_TOKENS if is_prefix_cached else 0
            self._store_block(digest)
        return cached

    def _store_block(self, digest: int) -> None:
        if digest not in self._blocks:
            self._publish("stored", digest)
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)
        if len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("removed", evicted)

    def _publish(self, kind: str, digest: int) -> None:
        sequence = len(self.events)
        self.events.append({"sequence": sequence, "kind": kind, "block": f"{digest:016x}"})


def compute_block_digests(prompt: list[int]) -> list[int]:
    """Return a digest for each full block, which also covers all preceding blocks.

    :param prompt: prompt token ids.
    """
    digests = []
    hasher = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = prompt[start : start + BLOCK_TOKENS]
        hasher.update(b"".join(token.to_bytes(4, "little") for token in block))
        digests.append(hasher.intdigest())
    return digests
