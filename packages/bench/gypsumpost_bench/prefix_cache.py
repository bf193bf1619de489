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
        unbroken = True
        for digest in digest_blocks(prompt):
            unbroken = unbroken and digest in self._blocks
            cached += BLOCK_TOKENS if unbroken else 0
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


def digest_blocks(prompt: list[int]) -> list[int]:
    """Return a digest for each full block, which also covers all preceding blocks.

    :param prompt: prompt token ids.
    """
    digests = []
    running = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = prompt[start : start + BLOCK_TOKENS]
        running.update(b"".join(token.to_bytes(4, "little") for token in block))
        digests.append(running.intdigest())
    return digests
