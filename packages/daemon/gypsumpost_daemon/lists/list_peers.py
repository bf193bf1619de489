"""Selection of the daemons that watch the store, and of peers to poll."""

import random
from collections.abc import Awaitable, Callable

import trio

from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_daemon.peers.host_directory import HostDirectory


class ListPeers:
    """Selects watchers and poll peers for the list task.

    :param directory: the known hosts.
    :param watchers: number of daemons per failure domain that watch the store.
    :param rng: random number generator for the choice of peers to poll.
    """

    def __init__(self, *, directory: HostDirectory, watchers: int, rng: random.Random) -> None:
        self._directory = directory
        self._watchers = watchers
        self._rng = rng
        self._changed = trio.Event()
        directory.add_listener(self._notify_change)

    def rank_domain(self) -> list[Host]:
        """Return the live hosts of this host's failure domain, starting with the first watcher."""
        domain = self._directory.own.failure_domain
        live = [host for host in self._directory.list_live() if host.failure_domain == domain]
        return rank_hosts(f"lists/{domain}", live)

    def is_watcher(self) -> bool:
        """Return whether this daemon has to watch the store."""
        return self._directory.own in self.rank_domain()[: self._watchers]

    async def wait_for_role(self, *, watching: bool) -> None:
        """Wait until this daemon becomes or stops being a watcher.

        :param watching: true to wait for the watcher role, false to wait for its end.
        """
        while self.is_watcher() is not watching:
            changed = self._changed
            await changed.wait()

    async def run_as_watcher(self, follow: Callable[[], Awaitable[None]]) -> None:
        """Run a function whenever this daemon is a watcher, until cancelled.

        :param follow: the function; cancelled when the daemon stops being a watcher.
        """
        while True:
            await self.wait_for_role(watching=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow)
                await self.wait_for_role(watching=False)
                nursery.cancel_scope.cancel()

    def choose_poll_peer(self) -> Host | None:
        """Return the next peer to poll, ``None`` if there are no live peers.

        A watcher polls other failure domains, as its own domain depends on it; other daemons poll
        their own domain.
        """
        peers = self._directory.list_peers()
        domain = self._directory.own.failure_domain
        outside = self.is_watcher()
        preferred = [host for host in peers if (host.failure_domain != domain) is outside]
        candidates = preferred or peers
        return self._rng.choice(candidates) if candidates else None

    def _notify_change(self, host: Host, live: bool) -> None:
        self._changed.set()
        self._changed = trio.Event()
