"""Batching of a failure domain's claim operations at one daemon of the domain."""

import time

import trio
from result import Err, Ok, Result

from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_daemon.calls.claim_messages import (
    OrderOutcome,
    decode_orders,
    decode_outcomes,
    encode_orders,
    encode_outcomes,
)
from gypsumpost_daemon.calls.claim_mode import CLAIM_MODES
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_queue import ClaimQueue
from gypsumpost_daemon.calls.claim_writer import ClaimWriter
from gypsumpost_daemon.calls.queued_order import QueuedOrder
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure

BATCH_INTERVAL_SECONDS = 0.025
"""Minimum time between batches that are not full. It limits each domain to 40 writes/s, so that
eleven domains stay below the several hundred writes/s that the store can handle."""

STORE_SECONDS = 2.0
"""Timeout of one transaction; a claim without a reply by then is refused or read back."""

BATCHER_SECONDS = 1.0
"""Timeout of the batcher's reply; after it, this daemon writes the order to the store itself."""


def find_batcher(directory: HostDirectory) -> str:
    """Return the host id of the batcher of this host's failure domain.

    :param directory: the known hosts.
    """
    domain = directory.own.failure_domain
    members = [host for host in directory.list_live() if host.failure_domain == domain]
    return rank_hosts(f"claims/{domain}", members)[0].host_id


@CLAIM_MODES.register("batched")
class ClaimBatcher:
    """Sends orders to the domain's batcher, and writes batches of the orders received here.

    Every order is a compare-and-swap in the store, so two batchers at the same time, or none, cause
    additional store calls but no errors.

    :param directory: the known hosts.
    :param network: connections to other daemons.
    :param store: the store.
    :param retention_seconds: how long claims and outcomes are kept, ``None``: indefinitely.
    :param writer: writes to the store, ``None`` for one that writes to ``store`` at once.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        network: PeerNetwork,
        store: Store,
        retention_seconds: float | None = None,
        writer: ClaimWriter | None = None,
    ) -> None:
        self._directory = directory
        self._network = network
        self._writer = writer or ClaimWriter.create(store, retention_seconds)
        self._queue = ClaimQueue()
        network.add_handler(MessageKind.CLAIM_CALLS, self._serve_orders)

    async def run(self) -> None:
        """Write batches until cancelled, one transaction at a time."""
        while True:
            batch = await self._queue.take_batch()
            started = trio.current_time()
            await self._write_batch(batch)
            while not self._queue.is_full():
                remaining = started + BATCH_INTERVAL_SECONDS - trio.current_time()
                if remaining <= 0:
                    break
                await trio.sleep(min(remaining, BATCH_INTERVAL_SECONDS / 5))

    async def submit(
        self, order: ClaimOrder, deadline: float
    ) -> Result[ClaimOrderReply, StoreFailure]:
        """Execute an order through the domain's batcher, or directly if that does not reply.

        :param order: the order.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        batcher = find_batcher(self._directory)
        if batcher == self._directory.own.host_id:
            return await self._enqueue(order, deadline)
        forwarded = await self._send_to_batcher(batcher, order, deadline)
        if isinstance(forwarded, Ok):
            return forwarded.ok_value
        direct = await self._enqueue(order, deadline)
        if isinstance(direct, Err) and forwarded.err_value:
            return Err(StoreFailure(reason=direct.err_value.reason, sent=True))
        return direct

    async def _send_to_batcher(
        self, batcher: str, order: ClaimOrder, deadline: float
    ) -> Result[OrderOutcome, bool]:
        # The error value is true if the order may have reached the batcher.
        wait_until = min(deadline, trio.current_time() + BATCHER_SECONDS)
        unix_deadline = time.time() + wait_until - trio.current_time()
        payload = encode_orders([order], unix_deadline)
        reply = await self._network.request(batcher, MessageKind.CLAIM_CALLS, payload, wait_until)
        if isinstance(reply, Err):
            return Err(reply.err_value.sent)
        outcomes = decode_outcomes(reply.ok_value)
        return Ok(outcomes[0]) if outcomes else Err(True)

    async def _serve_orders(self, request: PeerRequest) -> bytes:
        orders, unix_deadline = decode_orders(request.payload)
        deadline = trio.current_time() + unix_deadline - time.time()
        outcomes: dict[int, OrderOutcome] = {}

        async def execute(index: int) -> None:
            outcomes[index] = await self._enqueue(orders[index], deadline)

        async with trio.open_nursery() as nursery:
            for index in range(len(orders)):
                nursery.start_soon(execute, index)
        return encode_outcomes([outcomes[index] for index in range(len(orders))])

    async def _enqueue(self, order: ClaimOrder, deadline: float) -> OrderOutcome:
        queued = QueuedOrder(order=order)
        self._queue.add(queued)
        try:
            with trio.move_on_at(deadline):
                await queued.done.wait()
        finally:
            waiting = self._queue.discard(queued)
        if queued.outcome is not None:
            return queued.outcome
        return Err(StoreFailure(reason="no answer in time", sent=not waiting))

    async def _write_batch(self, batch: list[QueuedOrder]) -> None:
        deadline = trio.current_time() + STORE_SECONDS
        result = await self._writer.write([queued.order for queued in batch], deadline)
        if isinstance(result, Err):
            for queued in batch:
                queued.finish(result)
            return
        for queued, reply in zip(batch, result.ok_value, strict=True):
            queued.finish(Ok(reply))
