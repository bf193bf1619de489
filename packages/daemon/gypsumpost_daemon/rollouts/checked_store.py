"""Calls to the store that observe the era of each answer."""

from typing import TypeVar

from result import Err, Ok, Result

from gypsumpost_core.gateway.era_belief import EraBelief, EraVerdict
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_daemon.gateway.item_store import ItemBatch, ItemStore
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_answer import WriteAnswer
from gypsumpost_daemon.gateway.write_failure import WriteFailure, WriteFailureKind

ANOTHER_ERA = "an answer of another era"

Answer = TypeVar("Answer", WriteAnswer, StoreLease)


class CheckedStore:
    """Drops answers of an era that is not believed.

    A change that such an answer confirms may have been made, so its outcome is unknown.

    :param store: the store.
    :param belief: the believed era, which reads of the directory observe as well.
    """

    def __init__(self, *, store: ItemStore, belief: EraBelief) -> None:
        self._store = store
        self.belief = belief

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, str]:
        """Read all items under a prefix.

        :param prefix: prefix of the keys.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        read = await self._store.read(prefix, deadline)
        if isinstance(read, Err):
            self.belief.observe(read.err_value.era)
            return Err(read.err_value.reason)
        return Ok(read.ok_value) if self._is_current(read.ok_value.era) else Err(ANOTHER_ERA)

    async def commit(
        self, transaction: ItemTransaction, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """Change items if all expected revisions hold.

        :param transaction: the changes and the revisions that they expect.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        return self._check(await self._store.commit(transaction, deadline))

    async def open_lease(self, seconds: float, deadline: float) -> Result[StoreLease, WriteFailure]:
        """Open a lease.

        :param seconds: time until it ends unless it is renewed.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        return self._check(await self._store.open_lease(seconds, deadline))

    async def renew_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """Renew a lease.

        :param lease: the lease.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        return self._check(await self._store.renew_lease(lease, deadline))

    async def end_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        """End a lease.

        :param lease: the lease.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        return self._check(await self._store.end_lease(lease, deadline))

    def _check(self, answer: Result[Answer, WriteFailure]) -> Result[Answer, WriteFailure]:
        if isinstance(answer, Err):
            self.belief.observe(answer.err_value.era)
            return answer
        era = answer.ok_value.era
        if self._is_current(era):
            return answer
        return Err(WriteFailure(kind=WriteFailureKind.UNKNOWN, reason=ANOTHER_ERA, era=era))

    def _is_current(self, era: StoreEra | None) -> bool:
        return self.belief.observe(era) is EraVerdict.CURRENT
