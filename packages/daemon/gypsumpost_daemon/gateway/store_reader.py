"""Reads of the store whose answers are checked by their era."""

import math

import trio
from result import Err, Result

from gypsumpost_core.gateway.era_belief import EraBelief, EraVerdict
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.item_store import ItemBatch, ItemStore, ItemStoreFailure
from gypsumpost_daemon.telemetry.log import Log

LOG_SECONDS = 1.0
"""Minimum interval between two lines on answers of a wrong era."""

LOG = Log(prefix="store")


class StoreReader:
    """Returns only answers of the believed era.

    :param store: the store.
    :param belief: the believed era.
    """

    def __init__(self, *, store: ItemStore, belief: EraBelief) -> None:
        self._store = store
        self._belief = belief
        self._log_at = -math.inf
        self.calls = 0

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, ItemStoreFailure]:
        """Read a prefix, a second time if the first answer names a new era.

        :param prefix: prefix of the keys.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        for _ in range(2):
            self.calls += 1
            read = await self._store.read(prefix, deadline)
            if isinstance(read, Err):
                self._observe_failure(read.err_value)
                return read
            verdict = self._observe(read.ok_value.era)
            if verdict is EraVerdict.CURRENT:
                return read
            if verdict is not EraVerdict.UNCONFIRMED:
                break
        return Err(ItemStoreFailure(reason="an answer of another era", wrong_era=True))

    async def watch(
        self, prefix: str, position: StorePosition
    ) -> Result[ItemBatch, ItemStoreFailure]:
        """Wait for changes after a position.

        :param prefix: prefix of the keys.
        :param position: position up to which the changes are known.
        """
        self.calls += 1
        return self._check(await self._store.watch(prefix, position.revision), position)

    async def poll(
        self, prefix: str, position: StorePosition, deadline: float
    ) -> Result[ItemBatch, ItemStoreFailure]:
        """Return the changes after a position until now.

        :param prefix: prefix of the keys.
        :param position: position up to which the changes are known.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        self.calls += 1
        return self._check(await self._store.poll(prefix, position.revision, deadline), position)

    def _check(
        self, answer: Result[ItemBatch, ItemStoreFailure], position: StorePosition
    ) -> Result[ItemBatch, ItemStoreFailure]:
        """Return the changes after a position, or why they cannot be used."""
        if isinstance(answer, Err):
            self._observe_failure(answer.err_value)
            return answer
        verdict = self._observe(answer.ok_value.era)
        if verdict in (EraVerdict.FORMER, EraVerdict.UNLIKELY):
            return Err(ItemStoreFailure(reason="an answer of another era", wrong_era=True))
        if verdict is EraVerdict.UNCONFIRMED or position.era != self._belief.era:
            return Err(ItemStoreFailure(reason="the era has changed", history_lost=True))
        return answer

    def _observe_failure(self, failure: ItemStoreFailure) -> None:
        if failure.era is not None:  # Else there may have been no answer.
            self._observe(failure.era)

    def _observe(self, era: StoreEra | None) -> EraVerdict:
        believed = self._belief.era
        verdict = self._belief.observe(era)
        missing = era is None and believed != NO_ERA
        now = trio.current_time()
        if (verdict is not EraVerdict.CURRENT or missing) and now >= self._log_at:
            self._log_at = now + LOG_SECONDS
            LOG.write(
                "an answer does not name the believed era",
                era=era,
                believed_era=believed,
                verdict=verdict.value,
            )
        return verdict
