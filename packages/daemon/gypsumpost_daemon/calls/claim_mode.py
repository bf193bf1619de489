"""Strategies for writing claims to the store."""

from typing import Protocol

from result import Result

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.store.store_failure import StoreFailure


class ClaimMode(Protocol):
    """Executes claim orders in the store."""

    async def run(self) -> None:
        """Run the mode's background tasks until cancelled."""
        ...

    async def submit(
        self, order: ClaimOrder, deadline: float
    ) -> Result[ClaimOrderReply, StoreFailure]:
        """Execute an order.

        :param order: the order.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        ...


CLAIM_MODES: Registry[ClaimMode] = Registry(behaviour="claim-mode")
"""Constructors accept ``directory``, ``network``, ``store`` and optional ``retention_seconds``
and ``writer``."""
