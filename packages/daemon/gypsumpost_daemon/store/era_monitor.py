"""Belief of this host in the era of the store behind the interface of docs/callers.md."""

import math
from collections.abc import Callable, Iterable
from typing import TypeVar

import trio
from result import Err, Result

from gypsumpost_core.gateway.era_belief import EraBelief, EraVerdict
from gypsumpost_core.gateway.store_era import StoreEra, parse_era
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.telemetry.log import Log

T = TypeVar("T")

STORE_ERA = b"store-era"
MAX_LOGGED_BYTES = 12

LOG_SECONDS = 1.0
"""Minimum interval between two lines on eras that are not believed or cannot be read."""

LOG = Log(prefix="store")


class EraMonitor:
    """Judges the answers of the store by their era, and tells its listeners of a new one.

    A store that names no era is never judged.
    """

    def __init__(self) -> None:
        self._belief = EraBelief()
        self._sighting_listeners: list[Callable[[], None]] = []
        self._changed = trio.Event()
        self._log_at = -math.inf
        self._in_doubt = False

    @property
    def in_doubt(self) -> bool:
        """True if the last answer that named an era named one that is not confirmed yet."""
        return self._in_doubt

    @property
    def era(self) -> StoreEra:
        """The believed era, ``NO_ERA`` if the store has named none."""
        return self._belief.era

    def add_sighting_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called at the first answer that names a higher era.

        :param listener: the function; it must not block. The era is not believed yet.
        """
        self._sighting_listeners.append(listener)

    async def wait_for_change(self, era: StoreEra) -> StoreEra:
        """Wait until another era is believed, and return it.

        :param era: the era that the caller knows.
        """
        while self.era == era:
            await self._changed.wait()
        return self.era

    def judge(
        self, answer: Result[T, StoreFailure], era: StoreEra | None
    ) -> Result[T, StoreFailure]:
        """Return the answer if it is of the believed era, otherwise a failure.

        :param answer: what the store answered, also a refusal.
        :param era: the era that the answer names, ``None`` if it names none.
        """
        verdict = self.observe(era)
        if verdict is EraVerdict.CURRENT:
            return answer
        # The store may have made the change in the era that the answer names.
        sent = not isinstance(answer, Err) or answer.err_value.sent
        return Err(StoreFailure(reason=f"the answer is of another era: {verdict.value}", sent=sent))

    def observe(self, era: StoreEra | None) -> EraVerdict:
        """Return what an answer is worth, and believe its era if that is confirmed.

        :param era: the era that the answer names, ``None`` if it names none.
        """
        before = self.era
        verdict = self._belief.observe(era)
        if era is not None:
            self._in_doubt = verdict is EraVerdict.UNCONFIRMED
        if verdict is EraVerdict.UNCONFIRMED:
            self._notify_sighting()
        if verdict is not EraVerdict.CURRENT:
            self._log("ignored an answer of another era", named=era, believed=before)
        self._record_change(before)
        return verdict

    def adopt(self, era: StoreEra) -> None:
        """Believe a higher era that a peer has had confirmed.

        :param era: the era.
        """
        before = self.era
        if self._belief.is_unlikely(era):
            return
        if era > before:
            self._notify_sighting()
        self._belief.adopt(era)
        self._in_doubt = False
        self._record_change(before)

    def read_era(self, headers: Iterable[tuple[bytes, bytes]]) -> StoreEra | None:
        """Return the era that the headers of an answer name, ``None`` if none can be read.

        :param headers: the headers.
        """
        values = [value.strip() for name, value in headers if name.lower() == STORE_ERA]
        value = b",".join(values)
        era = parse_era(value)
        if era is None and values:
            self._log("cannot read the era", value=value[:MAX_LOGGED_BYTES].decode("latin-1"))
        return era

    def _notify_sighting(self) -> None:
        for listener in self._sighting_listeners:
            listener()

    def _record_change(self, before: StoreEra) -> None:
        if self.era == before:
            return
        LOG.write("the store is in a new era", former=before, era=self.era)
        self._changed.set()
        self._changed = trio.Event()

    def _log(self, message: str, **fields: object) -> None:
        now = trio.current_time()
        if now >= self._log_at:
            self._log_at = now + LOG_SECONDS
            LOG.write(message, **fields)
