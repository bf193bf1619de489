"""Interface to the platform's key-value store."""

from collections.abc import AsyncIterator
from typing import Protocol

from result import Result

from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_transaction import StoreTransaction
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult


class Store(Protocol):
    """Operations of the store; all deadlines are monotonic time in seconds."""

    async def run_transaction(
        self, transaction: StoreTransaction, deadline: float
    ) -> Result[StoreTransactionResult, StoreFailure]:
        """Run a transaction; a read is a transaction without conditions."""
        ...

    async def grant_lease(self, ttl_seconds: int, deadline: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        ...

    async def renew_lease(self, lease: int, deadline: float) -> Result[int, StoreFailure]:
        """Renew a lease and return its remaining seconds, 0 if it has expired."""
        ...

    async def revoke_lease(self, lease: int, deadline: float) -> Result[None, StoreFailure]:
        """Revoke a lease, which deletes its keys."""
        ...

    def watch(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncIterator[list[StoreEvent]]:
        """Yield batches of changes from a revision on; ends when the watch is interrupted."""
        ...
