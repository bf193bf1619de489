"""Stores the claims of this host again after the store has come back from an older copy."""

import random

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_daemon.calls.claim_codec import decode_record
from gypsumpost_daemon.calls.claim_memory import ClaimMemory
from gypsumpost_daemon.calls.claim_messages import decode_era, encode_era
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_queue import ClaimQueue
from gypsumpost_daemon.calls.claim_writer import ClaimWriter
from gypsumpost_daemon.calls.queued_order import QueuedOrder
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_transaction import StoreGet, StoreTransaction
from gypsumpost_daemon.telemetry.log import Log

WRITE_SECONDS = 2.0
"""Timeout of one transaction."""

PEER_SECONDS = 1.0
"""Time for which a peer may wait for its writes before it replies."""

PREPARE_SECONDS = 10.0
"""After this time, claims are created although a live host has not stored its claims again."""

RETRY_SECONDS = 0.2

CONFIRMATION_KEY = b"/gypsumpost/calls/"
"""A key that does not exist; only the era of the answer is used."""

NOT_PREPARED = StoreFailure(reason="the claims of the former era are being stored", sent=False)

LOG = Log(prefix="call")


class ClaimRenewal:
    """Stores the claims of this host again, and asks all live hosts for the same.

    No claim is created in an era before the hosts have replied, so that a call whose claim was lost
    is not run again.

    :param directory: the known hosts.
    :param network: connections to other daemons.
    :param writer: writes to the store, without waiting for this renewal.
    :param store: the store, to confirm an era at once.
    :param memory: the claims of this host.
    :param eras: the store's era as this host believes it.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        network: PeerNetwork,
        writer: ClaimWriter,
        store: Store,
        memory: ClaimMemory,
        eras: EraMonitor,
    ) -> None:
        self._directory = directory
        self._network = network
        self._writer = writer
        self._store = store
        self._memory = memory
        self._eras = eras
        self._rng = random.Random()
        self._renewed = NO_ERA
        self._prepared = NO_ERA
        self._told = NO_ERA
        self._waiting = 0
        self._progress = trio.Event()
        eras.add_sighting_listener(self._notify)
        network.add_handler(MessageKind.RENEW_CLAIMS, self._serve)

    async def run(self) -> None:
        """Follow the era until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_confirmed)
            nursery.start_soon(self._keep_renewed)
            nursery.start_soon(self._keep_prepared)

    async def wait_until_prepared(self, deadline: float) -> Result[None, StoreFailure]:
        """Wait until claims may be created in the believed era.

        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        self._waiting += 1
        self._notify()
        try:
            with trio.move_on_at(deadline):
                while self._eras.in_doubt or self._prepared != self._eras.era:
                    await self._progress.wait()
                return Ok(None)
        finally:
            self._waiting -= 1
        return Err(NOT_PREPARED)

    async def wait_until_confirmed(self, deadline: float) -> Result[None, StoreFailure]:
        """Wait while the last answer has named an era that is not confirmed yet.

        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        with trio.move_on_at(deadline):
            while self._eras.in_doubt:
                await self._progress.wait()
            return Ok(None)
        return Err(NOT_PREPARED)

    async def _keep_confirmed(self) -> None:
        # Claims wait for the second answer, so it is not left to chance when one arrives.
        read = StoreTransaction(success=(StoreGet(key=CONFIRMATION_KEY),))
        while True:
            while not self._eras.in_doubt:
                await self._progress.wait()
            answer = await self._store.run_transaction(read, trio.current_time() + WRITE_SECONDS)
            self._notify()
            if isinstance(answer, Err):
                await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _keep_renewed(self) -> None:
        while True:
            era = await self._eras.wait_for_change(self._renewed)
            self._notify()
            await self._renew(era)

    async def _renew(self, era: StoreEra) -> None:
        queue = ClaimQueue()
        orders = self._memory.list_orders()
        for order in orders:
            queue.add(QueuedOrder(order=order))
        while not queue.is_empty():
            if self._eras.era != era:
                return
            batch = await queue.take_batch()
            for order in await self._write([queued.order for queued in batch]):
                queue.add(QueuedOrder(order=order))
        self._renewed = era
        LOG.write("stored the claims of the former era again", era=era, count=len(orders))
        self._notify()

    async def _write(self, batch: list[ClaimOrder]) -> list[ClaimOrder]:
        # Returns the orders that have to be written next.
        result = await self._writer.write(batch, trio.current_time() + WRITE_SECONDS)
        if isinstance(result, Err):
            await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
            return batch
        replies = zip(batch, result.ok_value, strict=True)
        following = [
            find_following_order(order, reply) or self._find_change(order)
            for order, reply in replies
        ]
        return [order for order in following if order is not None]

    def _find_change(self, order: ClaimOrder) -> ClaimOrder | None:
        # A change that reached the store before the claim was stored again had no effect there.
        latest = self._memory.find_order(order.key)
        if latest is None:
            return None
        are_removals = [found.kind is ClaimOrderKind.REMOVE for found in (order, latest)]
        is_same = are_removals[0] == are_removals[1] and order.value == latest.value
        return None if is_same else latest

    async def _keep_prepared(self) -> None:
        while True:
            era = await self._eras.wait_for_change(self._prepared)
            # The host that has told the era has told it to all others as well.
            while era == self._told and not self._waiting and self._eras.era == era:
                await self._progress.wait()
            await self._prepare(era)

    async def _prepare(self, era: StoreEra) -> None:
        deadline = trio.current_time() + PREPARE_SECONDS
        async with trio.open_nursery() as nursery:
            for host in self._directory.list_peers():
                nursery.start_soon(self._ask, host.host_id, era, deadline)
            while self._renewed != era and self._eras.era == era:
                await self._progress.wait()
        if self._eras.era == era:
            self._prepared = era
            self._notify()

    async def _ask(self, host_id: str, era: StoreEra, deadline: float) -> None:
        while self._directory.is_live(host_id) and self._eras.era == era:
            now = trio.current_time()
            if now >= deadline:
                LOG.write("a host has not stored its claims again", host=host_id, era=era)
                return
            wait_until = min(deadline, now + 2 * PEER_SECONDS)
            reply = await self._network.request(
                host_id, MessageKind.RENEW_CLAIMS, encode_era(era), wait_until
            )
            renewed = NO_ERA if isinstance(reply, Err) else decode_era(reply.ok_value)
            if renewed >= era:
                self._eras.adopt(renewed)
                return
            await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _serve(self, request: PeerRequest) -> bytes:
        era = decode_era(request.payload)
        if era > self._eras.era:
            self._told = era
            self._eras.adopt(era)
        with trio.move_on_after(PEER_SECONDS):
            while self._renewed < era:
                await self._progress.wait()
        return encode_era(self._renewed)

    def _notify(self) -> None:
        self._progress.set()
        self._progress = trio.Event()


def find_following_order(order: ClaimOrder, reply: ClaimOrderReply) -> ClaimOrder | None:
    """Return the order that must follow to store a claim again, ``None`` if there is none.

    A record of another call that was claimed before this claim was stored again is replaced, as
    that call has not been sent yet. A record with an outcome is kept.

    :param order: the order that was written.
    :param reply: the store's reply to it.
    """
    is_done = reply.applied or reply.current == order.value
    if order.kind is ClaimOrderKind.REMOVE or is_done:
        return None
    if reply.current is None:
        return attrs.evolve(order, kind=ClaimOrderKind.CREATE, expected=b"")
    if not _is_open_claim(reply.current):
        return None
    return attrs.evolve(order, kind=ClaimOrderKind.REPLACE, expected=reply.current)


def _is_open_claim(value: bytes) -> bool:
    try:
        return decode_record(value).outcome is None
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        LOG.write("cannot read a stored claim", error=repr(error))
        return False
