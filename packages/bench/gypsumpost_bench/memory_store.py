"""An in-process store with the rate limits and faults of the stand-in platform."""

from collections.abc import AsyncIterator, Callable

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_bench.store_faults import StoreFaults
from gypsumpost_bench.store_limits import StoreLimits
from gypsumpost_bench.store_logic import StoreLogic
from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_failure import StoreFailure
from gypsumpost_daemon.store.store_transaction import StoreTransaction
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

ANSWER_LOST = StoreFailure(reason="answer lost", sent=True)


@attrs.frozen(kw_only=True)
class MemoryStore:
    """Implements the daemon's ``Store``; views for several domains share state, faults and limits.

    :param logic: the stored state.
    :param faults: the active faults.
    :param limits: the rate limits and counts.
    :param failure_domain: failure domain of the caller, for partition faults.
    :param latency: seconds that every call takes.
    :param eras: judges the answers by their era, one for each calling host; ``None``: no caller
        learns the era.
    """

    logic: StoreLogic = attrs.field(factory=StoreLogic)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    limits: StoreLimits = attrs.field(factory=StoreLimits)
    failure_domain: str = ""
    latency: float = 0.0
    eras: EraMonitor | None = None

    def for_domain(self, failure_domain: str, eras: EraMonitor | None = None) -> "MemoryStore":
        """Return a view of the same store for callers of a domain.

        :param failure_domain: the domain; partition faults select callers by it.
        :param eras: judges the answers, ``None`` for that of this view.
        """
        return attrs.evolve(self, failure_domain=failure_domain, eras=eras or self.eras)

    async def run_transaction(
        self, transaction: StoreTransaction, deadline: float
    ) -> Result[StoreTransactionResult, StoreFailure]:
        """Run a transaction, within the limits and with the active faults."""
        return await self._call(
            lambda now: self.limits.try_transaction(transaction, now),
            lambda now: self.logic.run_transaction(transaction, now),
            deadline,
        )

    async def grant_lease(self, ttl_seconds: int, deadline: float) -> Result[int, StoreFailure]:
        """Create a lease and return its id."""
        grant = self.logic.grant_lease
        return await self._call(
            self.limits.try_write, lambda now: grant(ttl_seconds, now), deadline
        )

    async def renew_lease(self, lease: int, deadline: float) -> Result[int, StoreFailure]:
        """Renew a lease and return its remaining seconds, 0 if it has expired."""
        renew = self.logic.renew_lease
        return await self._call(self.limits.try_write, lambda now: renew(lease, now), deadline)

    async def revoke_lease(self, lease: int, deadline: float) -> Result[None, StoreFailure]:
        """End a lease and delete its keys."""
        revoke = self.logic.revoke_lease
        return await self._call(self.limits.try_write, lambda now: revoke(lease), deadline)

    async def watch(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncIterator[list[StoreEvent]]:
        """Yield batches of changes; ends when a fault cuts the watch."""
        changed = trio.Event()

        def wake() -> None:
            changed.set()

        remove_listeners = [self.logic.add_listener(wake), self.faults.add_listener(wake)]
        next_revision = start_revision or self.logic.revision + 1
        era = self.logic.era
        try:
            # A restore resets the connections of the watches.
            while not self._is_watch_cut() and self.logic.era == era:
                changed = trio.Event()
                events = self.logic.list_events(key, range_end, next_revision)
                next_revision = max(next_revision, self.logic.revision + 1)
                if events:
                    yield events
                else:
                    await changed.wait()
        finally:
            for remove_listener in remove_listeners:
                remove_listener()

    def _is_watch_cut(self) -> bool:
        now = trio.current_time()
        refusing = self.faults.is_refusing(self.failure_domain, now)
        return refusing or self.faults.is_cutting_watches(now)

    async def _call(
        self, admit: Callable[[float], bool], apply: Callable[[float], object], deadline: float
    ) -> Result:
        self.limits.call_count += 1
        with trio.move_on_at(deadline):
            await trio.sleep(self.latency + self.faults.compute_delay(trio.current_time()))
            now = trio.current_time()
            if self.faults.is_refusing(self.failure_domain, now):
                return Err(StoreFailure(reason="store is down", sent=False))
            if not admit(now):
                return self._judge(Err(StoreFailure(reason="too many calls", sent=False)))
            return self._apply(apply, now)
        return Err(StoreFailure(reason="no answer in time", sent=False))

    def _apply(self, apply: Callable[[float], object], now: float) -> Result:
        losing = self.faults.is_losing_answers(now)
        try:
            applied = apply(now)
        except StoreRejection as rejection:
            return self._judge(Err(StoreFailure(reason=str(rejection), sent=False)))
        return Err(ANSWER_LOST) if losing else self._judge(Ok(applied))

    def _judge(self, answer: Result) -> Result:
        return answer if self.eras is None else self.eras.judge(answer, self.logic.era)
