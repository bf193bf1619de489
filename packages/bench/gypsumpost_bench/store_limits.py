"""Rate limits of the stand-in store."""

from gypsumpost_bench.rate_limit import RateLimit
from gypsumpost_daemon.store.store_transaction import StoreGet, StoreOperation, StoreTransaction

WRITES_PER_SECOND = 500
READS_PER_SECOND = 2000


class StoreLimits:
    """Limits the rates of writes and reads, and counts calls, writes, reads and refusals.

    :param writes_per_second: calls per second that may write.
    :param reads_per_second: other calls per second; opening a watch counts as one.
    """

    def __init__(
        self,
        *,
        writes_per_second: float = WRITES_PER_SECOND,
        reads_per_second: float = READS_PER_SECOND,
    ) -> None:
        self._writes = RateLimit(per_second=writes_per_second)
        self._reads = RateLimit(per_second=reads_per_second)
        self.call_count = 0
        self.write_count = 0
        self.read_count = 0
        self.refused_count = 0

    def try_write(self, now: float) -> bool:
        """Count a call that may write and return whether it is within the limit.

        :param now: current time in seconds.
        """
        self.write_count += 1
        return self._count_refusal(self._writes.try_acquire(now))

    def try_read(self, now: float) -> bool:
        """Count a call that only reads and return whether it is within the limit.

        :param now: current time in seconds.
        """
        self.read_count += 1
        return self._count_refusal(self._reads.try_acquire(now))

    def try_transaction(self, transaction: StoreTransaction, now: float) -> bool:
        """Count a transaction as a write or a read.

        :param transaction: the transaction; one with only gets is a read.
        :param now: current time in seconds.
        """
        return self.try_read(now) if _is_read_only(transaction) else self.try_write(now)

    def _count_refusal(self, allowed: bool) -> bool:
        self.refused_count += not allowed
        return allowed


def _is_read_only(operation: StoreOperation) -> bool:
    if isinstance(operation, StoreTransaction):
        return all(_is_read_only(nested) for nested in operation.success + operation.failure)
    return isinstance(operation, StoreGet)
