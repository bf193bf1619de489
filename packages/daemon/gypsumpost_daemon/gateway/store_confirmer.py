"""Asks the store what is new, where neither a watch nor a peer tells."""

import math
import random
from collections.abc import Callable

import trio

from gypsumpost_core.gateway.host_roles import HostRoles
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.store_follower import StoreFollower
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.telemetry.log import Log

CHECK_SECONDS = 0.25
"""Interval at which a watcher checks whether the store has confirmed what it knows."""

CONFIRM_SECONDS = 0.8
"""Age of a confirmation from which on a watcher asks again."""

SPREAD_SECONDS = 0.4
"""By how much the first watchers of the domains differ in that age, drawn anew for each question.
The first one to ask tells the others, as calls to the store are billed."""

TURN_SECONDS = 0.5
"""How much longer each next watcher of a domain waits for those before it."""

QUIET_SECONDS = 1.4
"""Time without an answer of the store after which the first watcher polls other prefixes."""

QUIET_TURN_SECONDS = 0.25
"""How much longer each next watcher waits with that. An endpoint that leaves gets no requests after
two seconds, also if the watchers before it get no answer."""

REPLY_SECONDS = 1.2
"""How long an answer of the store is waited for."""

WAIT_SECONDS = 0.5
"""How long a request that would be refused for good waits for the answer of the store."""

FAILURE_PAUSE_SECONDS = 0.3
"""After a poll that has confirmed nothing, requests do not wait for another one within this time.
"""

LOG = Log(prefix="store")


class StoreConfirmer:
    """Polls the store for a domain that hears nothing of it, and for requests that need to know.

    It also polls for a host whose peers have changes and do not send them. An open watch proves
    nothing, since its answer may be lost. One question serves all who wait.

    :param directory: configuration and endpoints.
    :param follower: asks the store.
    :param roles: which hosts watch the store.
    :param announce: called after a poll, to tell the peers soon; must not block.
    :param announce_to_domain: the same for the peers of the domain.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        follower: StoreFollower,
        roles: HostRoles,
        announce: Callable[[], None],
        announce_to_domain: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._follower = follower
        self._roles = roles
        self._announce = announce
        self._announce_to_domain = announce_to_domain
        self._wanted = trio.Event()
        self._answered = trio.Event()
        self._failed_until = -math.inf
        self._asked_at = -math.inf
        self._pause = 0.0
        self._spread = random.uniform(0.0, SPREAD_SECONDS)
        self._requested: set[str] = set()
        self._request_made = trio.Event()

    def poll_soon(self, prefix: str) -> None:
        """Poll a prefix soon; must not block.

        :param prefix: prefix of the keys.
        """
        self._requested.add(prefix)
        self._request_made.set()

    async def run(self) -> None:
        """Ask at intervals while this host is a watcher, and on demand, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_requested)
            for prefix in self._directory.tables:
                if prefix == self._directory.configuration_prefix:
                    nursery.start_soon(self._confirm_configuration)
                else:
                    nursery.start_soon(self._poll_quiet, prefix)

    async def confirm(self) -> bool:
        """Return whether the configuration in force is known to be the newest; ask if it is not."""
        if not self._directory.freshness.may_be_behind():
            return True
        now = trio.current_time()
        if self._directory.freshness.is_behind() or now < self._failed_until:
            return False
        answered = self._answered
        self._wanted.set()
        with trio.move_on_at(now + WAIT_SECONDS):
            await answered.wait()
        return not self._directory.freshness.may_be_behind()

    async def _confirm_configuration(self) -> None:
        """Poll the configuration when a request waits, or when nobody has asked for a while."""
        while True:
            with trio.move_on_at(trio.current_time() + CHECK_SECONDS):
                await self._wanted.wait()
            wanted = self._wanted.is_set() and not self._directory.freshness.is_confirmed()
            self._wanted = trio.Event()
            if wanted or self._is_due():
                self._spread = random.uniform(0.0, SPREAD_SECONDS)
                self._asked_at = trio.current_time()
                if await self._poll(self._directory.configuration_prefix):
                    self._announce()
                if self._directory.freshness.is_confirmed():
                    self._pause = 0.0
                else:
                    self._pause = extend_pause(self._pause)
                    self._failed_until = trio.current_time() + FAILURE_PAUSE_SECONDS
            self._answered.set()
            self._answered = trio.Event()

    def _is_due(self) -> bool:
        """Return true if this host watches the store and no other host has asked for a while."""
        if not self._follower.watching or trio.current_time() < self._asked_at + self._pause:
            return False
        turn = self._roles.count_watchers_ahead(trio.current_time())
        age = self._directory.freshness.compute_confirmation_age()
        return age > CONFIRM_SECONDS + self._spread + turn * TURN_SECONDS

    async def _poll_requested(self) -> None:
        """Poll the prefixes that were requested, also on hosts that do not watch the store."""
        while True:
            await self._request_made.wait()
            self._request_made = trio.Event()
            prefixes, self._requested = self._requested, set()
            for prefix in sorted(prefixes):
                if await self._poll(prefix):
                    self._announce()

    async def _poll_quiet(self, prefix: str) -> None:
        """Poll a prefix when the store has told the watchers of the domain nothing for a while."""
        pause = 0.0
        while True:
            now = trio.current_time()
            due_at = self._compute_quiet_due(prefix, now)
            if due_at > now:
                await trio.sleep_until(min(due_at, now + CHECK_SECONDS))
            elif await self._poll(prefix):
                pause = 0.0
                self._announce_to_domain()
            else:
                pause = extend_pause(pause)
                await trio.sleep(pause)

    def _compute_quiet_due(self, prefix: str, now: float) -> float:
        """Return when to poll a prefix, as monotonic time in seconds."""
        if not self._follower.watching:
            return math.inf
        turn = self._roles.count_watchers_ahead(now)
        return self._follower.get_told_at(prefix) + QUIET_SECONDS + turn * QUIET_TURN_SECONDS

    async def _poll(self, prefix: str) -> bool:
        with contain_errors(LOG, "a poll", prefix=prefix):
            return await self._follower.poll(prefix, trio.current_time() + REPLY_SECONDS)
        return False


def extend_pause(pause: float) -> float:
    """Return the seconds between the next polls after one that did not help.

    The store limits the calls of all hosts together, so asking without pause prolongs a failure.

    :param pause: the seconds before it, 0 if the poll before it helped.
    """
    return min(CONFIRM_SECONDS, max(CHECK_SECONDS, 2 * pause))
