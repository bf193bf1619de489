"""Asks the store whether a newer configuration exists, where nobody has lately."""

import math

import trio

from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.store_follower import StoreFollower
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.telemetry.log import Log

CHECK_SECONDS = 0.25
"""Interval at which a watcher checks whether the store has confirmed what it knows."""

CONFIRM_SECONDS = 0.8
"""Age of a confirmation from which on a watcher asks again."""

REPLY_SECONDS = 1.2
"""How long an answer of the store is waited for."""

WAIT_SECONDS = 0.5
"""How long a request that would be refused for good waits for the answer of the store."""

FAILURE_PAUSE_SECONDS = 0.3
"""After a failure, requests do not wait for another answer within this time."""

LOG = Log(prefix="store")


class StoreConfirmer:
    """Polls the store for a domain that hears nothing of it, and for requests that need to know.

    An open watch proves nothing, since its answer may be lost. One question serves all who wait.

    :param directory: configuration and endpoints.
    :param follower: asks the store.
    """

    def __init__(self, *, directory: Directory, follower: StoreFollower) -> None:
        self._directory = directory
        self._follower = follower
        self._wanted = trio.Event()
        self._answered = trio.Event()
        self._failed_until = -math.inf

    async def run(self) -> None:
        """Ask at intervals while this host is a watcher, and on demand, until cancelled."""
        async with trio.open_nursery() as nursery:
            for prefix in self._directory.tables:
                if prefix == self._directory.configuration_prefix:
                    nursery.start_soon(self._confirm_configuration)
                else:
                    nursery.start_soon(self._poll_quiet, prefix)

    async def confirm(self) -> bool:
        """Return whether the configuration in force is known to be the newest; ask if it is not."""
        if self._directory.is_behind() or self._directory.is_confirmed():
            return not self._directory.is_behind()
        now = trio.current_time()
        if now < self._failed_until:
            return False
        answered = self._answered
        self._wanted.set()
        with trio.move_on_at(now + WAIT_SECONDS):
            await answered.wait()
        return self._directory.is_confirmed() and not self._directory.is_behind()

    async def _confirm_configuration(self) -> None:
        """Poll the configuration when a request waits, or when nobody has asked for a while."""
        while True:
            with trio.move_on_at(trio.current_time() + CHECK_SECONDS):
                await self._wanted.wait()
            wanted = self._wanted.is_set() and not self._directory.is_confirmed()
            self._wanted = trio.Event()
            age = self._directory.compute_confirmation_age()
            answered = True
            if wanted or (self._follower.watching and age > CONFIRM_SECONDS):
                answered = await self._poll(self._directory.configuration_prefix)
            if not answered:
                self._failed_until = trio.current_time() + FAILURE_PAUSE_SECONDS
            self._answered.set()
            self._answered = trio.Event()

    async def _poll_quiet(self, prefix: str) -> None:
        """Poll a prefix at a watcher whenever the store has told nothing of it for a while."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            asked_before = trio.current_time() - CONFIRM_SECONDS
            if self._follower.watching and self._follower.is_quiet(prefix, asked_before):
                await self._poll(prefix)

    async def _poll(self, prefix: str) -> bool:
        with contain_errors(LOG, "a poll", prefix=prefix):
            return await self._follower.poll(prefix, trio.current_time() + REPLY_SECONDS)
        return False
