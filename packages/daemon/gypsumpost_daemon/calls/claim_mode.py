"""How claims reach the store."""

from typing import Protocol

from result import Result

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.store.store_failure import StoreFailure


class ClaimMode(Protocol):
    """Carries claim orders to the store."""

    async def run(self) -> None:
        """Run the tasks of the mode until cancelled."""
        ...

    async def submit(
        self, order: ClaimOrder, deadline: float
    ) -> Result[ClaimOrderReply, StoreFailure]:
        """Carry out an order.

        :param order: the order.
        :param deadline: process time in seconds at which to stop waiting.
        """
        ...


CLAIM_MODES: Registry[ClaimMode] = Registry(behaviour="claim-mode")
"""Constructors take ``directory``, ``network``, ``store`` and optionally ``retention_seconds``."""
