"""Reads and watches the store and updates the directory."""

import math
import random
from collections.abc import Callable

import attrs
import trio
from result import Err, Result

from gypsumpost_core.gateway.host_roles import HostRoles
from gypsumpost_core.gateway.poll_start import PollStart
from gypsumpost_core.gateway.reread_schedule import RereadSchedule
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.directory import STORE, Directory
from gypsumpost_daemon.gateway.item_store import ItemBatch, ItemStore, ItemStoreFailure
from gypsumpost_daemon.gateway.store_reader import StoreReader
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.telemetry.log import Log

READ_SECONDS = 2.0
FIRST_RETRY_SECONDS = 0.1
RECOVERY_SECONDS = 0.8
"""Interval between reads that check whether the store answers again; a configuration must be
applied within two seconds of its recovery."""

WATCH_PAUSE_SECONDS = 0.15
"""Changes within this time arrive in one call, because calls are billed."""

SOUND_CONNECTION_SECONDS = 1.0
"""A connection that breaks after this time says nothing of the store: the next call tells whether
the store answers. Endpoints whose entries are removed are kept for a while after an outage."""

WATCHER_CHECK_SECONDS = 0.25
"""Interval at which a host checks whether it is a watcher of the store."""

MISSED_CHANGE_SECONDS = 0.5
"""A watch that has been open for this long should have brought what a peer has sent."""

REFRESH_SECONDS = 1.0
"""Minimum interval between two refreshes."""

MAX_DROPPED = 3
"""Answers of another era in a row from which on the store counts as one that does not answer."""

UNEXPECTED = ItemStoreFailure(reason="an unexpected error", history_lost=True)
"""The prefix is read again as a whole."""

LOG = Log(prefix="store")


class StoreFollower:
    """Reads each prefix once and watches it; reads it again if the store has lost its history.

    :param store: the store.
    :param directory: the directory to update.
    :param roles: which hosts are to watch the store.
    """

    def __init__(self, *, store: ItemStore, directory: Directory, roles: HostRoles) -> None:
        self._reader = StoreReader(store=store, belief=directory.era_belief)
        self._directory = directory
        self._roles = roles
        self.answered_at = trio.current_time()
        self._lost = False
        self._following = False
        self._refresh_at = -math.inf
        self._told_at: dict[str, float] = {}
        self._watched_since: dict[str, float] = {}
        self._watch_scopes: dict[str, trio.CancelScope] = {}
        # Positions up to which the store itself has sent the changes. What peers say does not
        # count here, so that a wrong revision of a peer cannot hide changes of the store.
        self._positions: dict[str, StorePosition] = {}
        self._poll_starts = {prefix: PollStart() for prefix in directory.tables}
        self._rereads = RereadSchedule()
        self._dropped = 0
        self._reread: dict[str, StorePosition] = {}
        self._failed_prefix = next(iter(directory.tables))

    @property
    def calls(self) -> int:
        """Number of calls to the store so far."""
        return self._reader.calls

    @property
    def lost(self) -> bool:
        """True while the store does not answer."""
        return self._lost

    @property
    def watching(self) -> bool:
        """True if this host watches the store and the store answers."""
        return self._following and self._is_watcher()

    def compute_watch_age(self, prefix: str) -> float:
        """Return for how many seconds the watch of a prefix has been open, 0 if there is none.

        :param prefix: prefix of the keys.
        """
        now = trio.current_time()
        return now - self._watched_since.get(prefix, now)

    def get_told_at(self, prefix: str) -> float:
        """Return up to when the store has told all that it had under a prefix.

        :param prefix: prefix of the keys.
        :returns: the moment, as monotonic time in seconds, minus infinity if it has told nothing.
        """
        return self._told_at.get(prefix, -math.inf)

    def record_told(self, prefix: str, told_at: float) -> None:
        """Record that this host knows all that the store had under a prefix at some moment.

        :param prefix: prefix of the keys.
        :param told_at: the moment, as monotonic time in seconds.
        """
        self._told_at[prefix] = max(told_at, self.get_told_at(prefix))

    def record_missed_change(self, prefix: str, source: str) -> None:
        """Start the watch of a prefix again if a change that it did not bring came otherwise.

        :param prefix: prefix of the keys.
        :param source: the peer that has sent the change, or the store, for the log.
        """
        age = self.compute_watch_age(prefix)
        if age >= MISSED_CHANGE_SECONDS:
            LOG.write(
                "a watch has missed a change",
                prefix=prefix,
                source=source,
                watch_seconds=round(age, 3),
            )
            self._watch_scopes[prefix].cancel()

    def record_peers_outage(self) -> None:
        """Record that the store answers none of the watchers on which this host relies."""
        if not self._lost and not self.watching:
            reason = "no peer of the domain gets an answer"
            failure = ItemStoreFailure(reason=reason)
            self._record_failure(self._failed_prefix, failure, trio.current_time())

    async def refresh(self, prefix: str) -> None:
        """Read a prefix again if this host is a watcher, at most once in ``REFRESH_SECONDS``.

        :param prefix: prefix of the keys.
        """
        now = trio.current_time()
        if now >= self._refresh_at and self._is_watcher():
            self._refresh_at = now + REFRESH_SECONDS
            await self._read(prefix)

    async def poll(self, prefix: str, deadline: float) -> bool:
        """Ask the store for what has changed until now; return true if it has answered.

        A failure says nothing of the watch, and does not count as an outage.

        :param prefix: prefix of the keys.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        asked_at = trio.current_time()
        polled: Result[ItemBatch, ItemStoreFailure] | None = None
        position = self._positions.get(prefix)
        if self._must_read_again(prefix, asked_at):
            position = None
        if position is not None:
            polled = await self._reader.poll(prefix, position, deadline)
        if polled is None or (isinstance(polled, Err) and polled.err_value.history_lost):
            position = None
            polled = await self._reader.read(prefix, deadline)
        if isinstance(polled, Err):
            LOG.write(
                "the store did not answer a poll",
                prefix=prefix,
                reason=polled.err_value.reason,
                waited_seconds=round(trio.current_time() - asked_at, 3),
            )
            return False
        batch = polled.ok_value
        if position is not None and not batch.items:
            start = self._poll_starts[prefix].advance(position, batch.revision, asked_at)
            batch = attrs.evolve(batch, revision=start)
        apply = self._directory.replace if position is None else self._directory.apply
        if self._apply(apply, prefix, batch, asked_at):
            self.record_missed_change(prefix, STORE)
        self.record_told(prefix, asked_at)
        return True

    async def run(self) -> None:
        """Follow all prefixes until cancelled."""
        async with trio.open_nursery() as nursery:
            for prefix in self._directory.tables:
                nursery.start_soon(self._follow, prefix)
            nursery.start_soon(self._check_recovery)

    async def _check_recovery(self) -> None:
        """Read after a failure or a change of era, since watch calls may block through it."""
        while True:
            await trio.sleep(RECOVERY_SECONDS)
            self._end_watches_of_former_eras()
            if self._lost and self._is_watcher():
                with contain_errors(LOG, "an answer of the store", prefix=self._failed_prefix):
                    await self._read(self._failed_prefix)

    def _end_watches_of_former_eras(self) -> None:
        """Read again what an open watch follows from a position of a former era.

        The store's revisions may have caught up with it, so that the watch brings nothing.
        """
        for prefix in self._watched_since:
            if not self._is_current(prefix):
                self._watch_scopes[prefix].cancel()

    async def _follow(self, prefix: str) -> None:
        failed_before = False
        while True:
            await self._wait_until_watcher()
            known = self._is_current(prefix)
            failure: ItemStoreFailure | None = UNEXPECTED
            with contain_errors(LOG, "an answer of the store", prefix=prefix):
                failure = await (self._watch(prefix) if known else self._read(prefix))
            if failure is None:
                failed_before = False
                await trio.sleep(WATCH_PAUSE_SECONDS)
                continue
            if failure.history_lost:
                self._positions.pop(prefix, None)
            if failure.wrong_era:
                await trio.sleep(RECOVERY_SECONDS)
            await trio.sleep(FIRST_RETRY_SECONDS * (0.5 + random.random()))
            if failed_before:
                await self._wait_recovery()
            failed_before = True

    def _is_current(self, prefix: str) -> bool:
        """Return true if the store has told of a prefix in the era that is believed."""
        position = self._positions.get(prefix)
        return position is not None and position.era == self._directory.era_belief.era

    async def _wait_recovery(self) -> None:
        """Wait until the store answers again; one task asks it for all prefixes."""
        while self._lost and self._is_watcher():
            await trio.sleep(WATCHER_CHECK_SECONDS)

    async def _wait_until_watcher(self) -> None:
        while not self._is_watcher():
            self._following = False
            if self._lost and not self._roles.is_store_lost(trio.current_time()):
                # The hosts that now watch the store send its changes to this one.
                self._record_recovery()
            await trio.sleep(WATCHER_CHECK_SECONDS)

    def _is_watcher(self) -> bool:
        return self._roles.is_watcher(trio.current_time(), answered=self._following)

    async def _read(self, prefix: str) -> ItemStoreFailure | None:
        asked_at = trio.current_time()
        read = await self._reader.read(prefix, asked_at + READ_SECONDS)
        if isinstance(read, Err):
            return self._record_failure(prefix, read.err_value, asked_at)
        self._record_answer()
        self._apply(self._directory.replace, prefix, read.ok_value, asked_at)
        self.record_told(prefix, asked_at)
        return None

    async def _watch(self, prefix: str) -> ItemStoreFailure | None:
        self._watched_since[prefix] = trio.current_time()
        watched: Result[ItemBatch, ItemStoreFailure] | None = None
        with trio.CancelScope() as scope:
            self._watch_scopes[prefix] = scope
            watched = await self._reader.watch(prefix, self._positions[prefix])
        watched_since = self._watched_since.pop(prefix)
        if watched is None:
            return None  # The watch has missed a change and is started again.
        if isinstance(watched, Err):
            failure = watched.err_value
            age = trio.current_time() - watched_since
            if failure.connection_lost and age >= SOUND_CONNECTION_SECONDS:
                LOG.write(
                    "the connection of a watch broke",
                    prefix=prefix,
                    reason=failure.reason,
                    watch_seconds=round(age, 3),
                )
                return failure
            return self._record_failure(prefix, failure, watched_since)
        self._record_answer()
        self._apply(self._directory.apply, prefix, watched.ok_value, watched_since)
        self.record_told(prefix, trio.current_time())
        return None

    def _apply(
        self,
        apply: Callable[..., bool],
        prefix: str,
        batch: ItemBatch,
        asked_at: float,
    ) -> bool:
        """Apply what the store has sent; return true if anything was not known."""
        era = self._directory.era_belief.era
        changed = apply(prefix, batch.items, batch.revision, STORE, era=era)
        self._positions[prefix] = StorePosition(era=era, revision=batch.revision)
        self._record_items(prefix, asked_at)
        return changed

    def _record_items(self, prefix: str, asked_at: float) -> None:
        """Record that the items are known that the store had when it was asked."""
        if prefix == self._directory.configuration_prefix:
            self._directory.record_store_answer(asked_at)
        # Items that arrived damaged are read again, once for each write.
        table = self._directory.tables[prefix]
        discarded = StorePosition(era=table.era, revision=table.discarded)
        if table.discarded and discarded > self._reread.get(prefix, StorePosition()):
            self._reread[prefix] = discarded
            self._positions.pop(prefix, None)

    def _must_read_again(self, prefix: str, now: float) -> bool:
        """Return true if the configuration arrived damaged and is to be read in place of a poll."""
        if prefix != self._directory.configuration_prefix:
            return False
        if not self._directory.is_configuration_unread:
            return False
        table = self._directory.tables[prefix]
        damaged = StorePosition(era=table.era, revision=table.discarded)
        return self._rereads.take_due(damaged, now)

    def _record_failure(
        self, prefix: str, failure: ItemStoreFailure, asked_at: float
    ) -> ItemStoreFailure:
        if failure.history_lost:
            position = self._positions.get(prefix, StorePosition())
            LOG.write(
                "the store has lost its history",
                prefix=prefix,
                reason=failure.reason,
                known_era=position.era,
                known_revision=position.revision,
            )
            return failure
        if failure.wrong_era:
            self._dropped += 1
            if self._dropped < MAX_DROPPED:
                return failure
        self._directory.record_outage(trio.current_time())
        if not self._lost:
            LOG.write(
                "the store did not answer",
                prefix=prefix,
                reason=failure.reason,
                waited_seconds=round(trio.current_time() - asked_at, 3),
            )
        self._lost = True
        self._following = False
        self._failed_prefix = prefix
        return failure

    def _record_answer(self) -> None:
        self._record_recovery()
        self._following = True
        self._dropped = 0
        self.answered_at = trio.current_time()

    def _record_recovery(self) -> None:
        now = trio.current_time()
        if self._lost:
            LOG.write("the store answers again", silent_seconds=round(now - self.answered_at, 3))
            self._directory.record_recovery()
        self._lost = False
