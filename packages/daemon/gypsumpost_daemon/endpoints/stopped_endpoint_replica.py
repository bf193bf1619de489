"""Replicates the set of endpoints that operators have stopped to this daemon."""

import random
from collections.abc import Callable

import trio
from result import Err

from gypsumpost_core.lists.broadcast_tree import list_children
from gypsumpost_daemon.endpoints.endpoint_watcher import EndpointWatcher
from gypsumpost_daemon.endpoints.stopped_endpoints import StoppedEndpoints
from gypsumpost_daemon.endpoints.stopped_endpoints_codec import decode_stopped, encode_stopped
from gypsumpost_daemon.lists.list_peers import ListPeers
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.telemetry.log import Log

WATCHERS_PER_DOMAIN = 2
PEER_SECONDS = 0.5
PUSH_ATTEMPTS = 3
POLL_SECONDS = 1.0
"""Longest time between polls; a daemon that misses a push must get a stop within 2 s."""

LOG = Log(prefix="endpoints")


class StoppedEndpointReplica:
    """Keeps the set of stopped endpoints up to date from the store or from peers.

    :param directory: the known hosts.
    :param peers: channel for messages to other daemons.
    :param store: the platform's store, ``None`` if this daemon has none.
    :param apply: called with the names of the stopped endpoints after each change; must not block.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    :param seed: seed of the random choice of peers to poll.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        peers: PeerChannel,
        store: Store | None,
        apply: Callable[[frozenset[str]], None],
        eras: EraMonitor | None = None,
        seed: int = 0,
    ) -> None:
        self._directory = directory
        self._channel = peers
        self._apply = apply
        self._state = StoppedEndpoints()
        self._changed = trio.Event()
        self._rng = random.Random(f"{directory.own.host_id}/endpoints/{seed}")
        self._peers = ListPeers(directory=directory, watchers=WATCHERS_PER_DOMAIN, rng=self._rng)
        self._watcher: EndpointWatcher | None = None
        if store is not None:
            self._watcher = EndpointWatcher(
                store=store, adopt=self._adopt, rng=self._rng, eras=eras
            )
        peers.add_handler(MessageKind.ENDPOINT_LEAVING, self._serve)

    @property
    def stopped(self) -> frozenset[str]:
        """Names of the stopped endpoints."""
        return self._state.names

    async def run(self) -> None:
        """Watch the store or poll peers, and push changes to peers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_store)
            nursery.start_soon(self._push_changes)
            nursery.start_soon(self._poll)

    async def _watch_store(self) -> None:
        if self._watcher is not None:
            await self._peers.run_as_watcher(self._watcher.follow)

    async def _push_changes(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                for child in list_children(self._directory.own, self._peers.rank_domain()):
                    nursery.start_soon(self._push, child.host_id)

    async def _push(self, host_id: str) -> None:
        for _ in range(PUSH_ATTEMPTS):
            if await self._exchange(host_id):
                return

    async def _poll(self) -> None:
        while True:
            await trio.sleep(POLL_SECONDS * (0.75 + 0.25 * self._rng.random()))
            peer = self._peers.choose_poll_peer()
            if peer is not None:
                await self._exchange(peer.host_id)

    async def _exchange(self, host_id: str) -> bool:
        deadline = trio.current_time() + PEER_SECONDS
        payload = encode_stopped(self._state)
        kind = MessageKind.ENDPOINT_LEAVING
        reply = await self._channel.request(host_id, kind, payload, deadline)
        if isinstance(reply, Err):
            return False
        self._apply_message(host_id, reply.ok_value)
        return True

    async def _serve(self, request: PeerRequest) -> bytes:
        self._apply_message(request.host_id, request.payload)
        return encode_stopped(self._state)

    def _apply_message(self, host_id: str, payload: bytes) -> None:
        decoded = decode_stopped(payload)
        if isinstance(decoded, Err):
            LOG.write("ignored an unreadable message", peer=host_id, reason=decoded.err_value)
        else:
            self._adopt(decoded.ok_value)

    def _adopt(self, state: StoppedEndpoints) -> None:
        if state.revision <= self._state.revision:
            return
        before, self._state = self._state, state
        if state.names == before.names:
            return
        LOG.write(
            "stopped endpoints changed",
            stopped=sorted(state.names - before.names),
            started=sorted(before.names - state.names),
            store_revision=state.revision,
        )
        self._apply(state.names)
        self._changed.set()
