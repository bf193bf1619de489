"""Baseline for the claim batcher: one store transaction per order."""

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.calls.claim_batcher import STORE_SECONDS
from gypsumpost_daemon.calls.claim_mode import CLAIM_MODES
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_writer import ClaimWriter
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure


@CLAIM_MODES.register("write-per-call")
class DirectClaims:
    """Writes each order in its own transaction.

    :param directory: not used.
    :param network: not used.
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
        self._writer = writer or ClaimWriter.create(store, retention_seconds)

    async def run(self) -> None:
        """Wait until cancelled; this mode has no background tasks."""
        await trio.sleep_forever()

    async def submit(
        self, order: ClaimOrder, deadline: float
    ) -> Result[ClaimOrderReply, StoreFailure]:
        """Execute an order.

        :param order: the order.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        wait_until = min(deadline, trio.current_time() + STORE_SECONDS)
        result = await self._writer.write([order], wait_until)
        return result if isinstance(result, Err) else Ok(result.ok_value[0])
