"""Queue of claim orders for the next store transaction."""

from collections import deque

import trio

from gypsumpost_daemon.calls.queued_order import QueuedOrder

MAX_BATCH_ORDERS = 100
"""Below etcd's limit of 128 operations per transaction."""

MAX_BATCH_BYTES = 768 * 1024
"""Half of etcd's limit of 1.5 MiB per request; base64 encoding adds a third."""


class ClaimQueue:
    """Groups queued orders into batches with distinct keys."""

    def __init__(self) -> None:
        self._waiting: deque[QueuedOrder] = deque()
        self._added = trio.Event()

    def add(self, queued: QueuedOrder) -> None:
        """Add an order.

        :param queued: the order with its submitter.
        """
        self._waiting.append(queued)
        self._added.set()

    def discard(self, queued: QueuedOrder) -> bool:
        """Remove an order that is not yet in a batch; return whether it was removed.

        :param queued: the order with its submitter.
        """
        if queued not in self._waiting:
            return False
        self._waiting.remove(queued)
        return True

    def is_empty(self) -> bool:
        """Return whether no order is queued."""
        return not self._waiting

    def is_full(self) -> bool:
        """Return whether a full batch is queued."""
        return len(self._waiting) >= MAX_BATCH_ORDERS

    async def take_batch(self) -> list[QueuedOrder]:
        """Wait for an order and return the next batch, in order of arrival."""
        while not self._waiting:
            self._added = trio.Event()
            await self._added.wait()
        return self._form_batch()

    def _form_batch(self) -> list[QueuedOrder]:
        batch: list[QueuedOrder] = []
        remaining: deque[QueuedOrder] = deque()
        keys: set[bytes] = set()
        size = 0
        for queued in self._waiting:
            size += queued.order.count_bytes()
            fits = len(batch) < MAX_BATCH_ORDERS and (size <= MAX_BATCH_BYTES or not batch)
            # etcd refuses a transaction that puts a key twice; the later order stays queued.
            if fits and queued.order.key not in keys:
                keys.add(queued.order.key)
                batch.append(queued)
            else:
                remaining.append(queued)
        self._waiting = remaining
        return batch
