"""Background writes of outcomes and removals of unused claims, retried during store outages."""

import random
from collections import deque

import trio
from result import Err

from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.telemetry.log import Log

MAX_ORDERS = 10_000
"""Maximum queued orders; further ones are dropped, and retries of their calls get ``unknown``."""

ORDER_SECONDS = 5.0
FIRST_BACKOFF_SECONDS = 0.5
LAST_BACKOFF_SECONDS = 8.0

LOG = Log(prefix="call")


class DeferredClaimWriter:
    """Executes orders in the background.

    While the store fails, one order at a time is retried with exponential backoff, so that an
    outage does not multiply the calls to the store; the others stay queued in memory.

    :param claims: executes orders in the store.
    """

    def __init__(self, *, claims: ClaimMode) -> None:
        self._claims = claims
        self._rng = random.Random()
        self._waiting: deque[ClaimOrder] = deque()
        self._added = trio.Event()
        self._failing = False
        self._backoff = FIRST_BACKOFF_SECONDS

    def add(self, order: ClaimOrder, store_failed: bool = False) -> None:
        """Queue an order, to be executed as soon as the store accepts it.

        :param order: the order.
        :param store_failed: true if a store call has just failed; the store is then probed first.
        """
        self._failing = self._failing or store_failed
        if len(self._waiting) >= MAX_ORDERS:
            LOG.write("dropped a claim order: the queue is full", kind=order.kind.name)
            return
        self._waiting.append(order)
        self._added.set()

    async def run(self) -> None:
        """Execute queued orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while not self._waiting:
                    self._added = trio.Event()
                    await self._added.wait()
                if self._failing:
                    await self._probe()
                while self._waiting and not self._failing:
                    nursery.start_soon(self._execute, self._waiting.popleft())

    async def _probe(self) -> None:
        await trio.sleep(self._backoff * self._rng.uniform(0.5, 1.5))
        self._backoff = min(2 * self._backoff, LAST_BACKOFF_SECONDS)
        self._failing = False
        await self._execute(self._waiting.popleft())
        if not self._failing:
            self._backoff = FIRST_BACKOFF_SECONDS

    async def _execute(self, order: ClaimOrder) -> None:
        deadline = trio.current_time() + ORDER_SECONDS
        if isinstance(await self._claims.submit(order, deadline), Err):
            self._failing = True
            self._waiting.append(order)
            self._added.set()
