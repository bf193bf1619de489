"""Which daemons watch the store for the lists, and whom a daemon polls."""

import random
from collections.abc import Awaitable, Callable

import trio

from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_daemon.peers.host_directory import HostDirectory


class ListPeers:
    """Chooses hosts for the list task.

    :param directory: the known hosts.
    :param watchers: number of daemons of each domain that watch the store.
    :param random_source: source of the choice of peers to poll.
    """

    def __init__(
        self, *, directory: HostDirectory, watchers: int, random_source: random.Random
    ) -> None:
        self._directory = directory
        self._watchers = watchers
        self._random = random_source
        self._changed = trio.Event()
        directory.add_listener(self._note_change)

    def rank_domain(self) -> list[Host]:
        """Return the live hosts of the own domain, the first watcher first."""
        domain = self._directory.own.failure_domain
        live = [host for host in self._directory.list_live() if host.failure_domain == domain]
        return rank_hosts(f"lists/{domain}", live)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store."""
        return self._directory.own in self.rank_domain()[: self._watchers]

    async def wait_for_role(self, *, watching: bool) -> None:
        """Wait until this daemon is, or is no longer, a watcher.

        :param watching: the role to wait for.
        """
        while self.is_watcher() is not watching:
            changed = self._changed
            await changed.wait()

    async def run_as_watcher(self, follow: Callable[[], Awaitable[None]]) -> None:
        """Run a task whenever this daemon is a watcher, until cancelled.

        :param follow: the task; cancelled when the role ends.
        """
        while True:
            await self.wait_for_role(watching=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow)
                await self.wait_for_role(watching=False)
                nursery.cancel_scope.cancel()

    def choose_poll_peer(self) -> Host | None:
        """Return the peer to ask for its revision next.

        A watcher asks another domain, as its own depends on it; the others ask their own domain.
        """
        peers = self._directory.list_peers()
        domain = self._directory.own.failure_domain
        outside = self.is_watcher()
        preferred = [host for host in peers if (host.failure_domain != domain) is outside]
        candidates = preferred or peers
        return self._random.choice(candidates) if candidates else None

    def _note_change(self, host: Host, live: bool) -> None:
        self._changed.set()
        self._changed = trio.Event()
