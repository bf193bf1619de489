"""Background task that keeps this daemon's lists up to date."""

import random
import time

import trio
from result import Err

from gypsumpost_core.lists.broadcast_tree import list_children
from gypsumpost_core.lists.list_replica import ListReplica
from gypsumpost_core.lists.list_status import ListStatus
from gypsumpost_core.lists.list_update import ListUpdate
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.lists.list_codec import decode_update, encode_update
from gypsumpost_daemon.lists.list_peers import ListPeers
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_watcher import StoreWatcher
from gypsumpost_daemon.telemetry.log import Log

WATCHERS_PER_DOMAIN = 2
PEER_SECONDS = 1.0
POLL_SECONDS = 2.0
"""Maximum time between polls; they deliver changes to a daemon that no other message reaches."""

FIRST_POLL_SECONDS = 0.25
"""Maximum time between polls while the daemon has no lists."""

SECOND_WATCHER_SECONDS = 0.3
"""Delay before a second watcher sends a change to the first one, which normally has it already."""

CUT_OFF_SECONDS = 15.0
"""Age of the last store contact from which the lists count as cut off. Within this time, polls
propagate a store contact to all daemons of a domain with a few hundred hosts."""

PUSH_ATTEMPTS = 3

LOG = Log(prefix="lists")


class ListTask:
    """Manages this daemon's replica of the lists.

    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    :param store: the platform's store, ``None`` if there is none.
    :param seed: random seed for the choice of peers to poll.
    :param watchers: number of daemons per failure domain that watch the store.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        peers: PeerChannel,
        store: Store | None,
        seed: int = 0,
        watchers: int = WATCHERS_PER_DOMAIN,
        eras: EraMonitor | None = None,
    ) -> None:
        self._directory = directory
        self._channel = peers
        self._rng = random.Random(f"{directory.own.host_id}/{seed}")
        self._peers = ListPeers(directory=directory, watchers=watchers, rng=self._rng)
        self._replica = ListReplica()
        self._advanced = trio.Event()
        self._behind = trio.Event()
        self._peer_revisions: dict[str, int] = {}
        self._watcher: StoreWatcher | None = None
        if store is not None:
            self._watcher = StoreWatcher(
                store=store,
                replica=self._replica,
                notify=self._notify,
                rng=self._rng,
                eras=eras,
            )
        peers.add_handler(MessageKind.LIST_CHANGES, self._serve_changes)
        peers.add_handler(MessageKind.LIST_REVISION, self._serve_revision)

    @property
    def lists(self) -> Lists:
        """The current lists."""
        return self._replica.lists

    @property
    def revision(self) -> int:
        """The current revision."""
        return self._replica.revision

    @property
    def known_revision(self) -> int | None:
        """The current revision, ``None`` before the first contact with the store."""
        return self.revision if self._replica.store_seen_at else None

    @property
    def status(self) -> ListStatus:
        """Revision and age of the lists, for the administration interface."""
        seen_at = self._replica.store_seen_at
        return ListStatus(
            revision=self.revision,
            store_seen_at=seen_at,
            cut_off=time.time() - seen_at > CUT_OFF_SECONDS,
            watching=self._watcher is not None and self._peers.is_watcher(),
        )

    def observe_peer_revision(self, host_id: str, revision: int) -> None:
        """Record a peer's revision; if it is higher, this daemon requests the missing changes.

        :param host_id: host id of the peer.
        :param revision: its revision, from gossip or a message.
        """
        self._peer_revisions[host_id] = revision
        if revision > self.revision:
            self._behind.set()

    async def fetch_revision(self, host_id: str) -> int | None:
        """Request a peer's revision and apply the newer changes in its reply.

        :param host_id: host id of the peer.
        :returns: its revision, ``None`` if it did not reply.
        """
        update = await self._request_update(
            host_id, MessageKind.LIST_REVISION, self._replica.create_revision_message()
        )
        return None if update is None else update.revision

    async def run(self) -> None:
        """Replicate the lists from the store or from peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_store)
            nursery.start_soon(self._forward_changes)
            nursery.start_soon(self._fetch_missing)
            nursery.start_soon(self._poll)

    async def _watch_store(self) -> None:
        if self._watcher is not None:
            await self._peers.run_as_watcher(self._watcher.follow)

    async def _forward_changes(self) -> None:
        forwarded = self.revision
        async with trio.open_nursery() as nursery:
            while True:
                await self._advanced.wait()
                self._advanced = trio.Event()
                before, forwarded = forwarded, self.revision
                if forwarded == before:
                    continue
                for child in list_children(self._directory.own, self._peers.rank_domain()):
                    nursery.start_soon(self._push, child.host_id, before)
                first = self._peers.rank_domain()[0].host_id
                if self._peers.is_watcher() and first != self._directory.own.host_id:
                    nursery.start_soon(self._update_first_watcher, first, before)

    async def _push(self, host_id: str, known: int) -> None:
        known = max(known, self._peer_revisions.get(host_id, 0))
        for _ in range(PUSH_ATTEMPTS):
            if known >= self.revision:
                return
            update = self._replica.create_update(known)
            reply = await self._request_update(host_id, MessageKind.LIST_CHANGES, update)
            if reply is not None:
                known = reply.revision

    async def _update_first_watcher(self, host_id: str, known: int) -> None:
        # The first watcher may have lost its connection to the store.
        await trio.sleep(SECOND_WATCHER_SECONDS)
        await self._push(host_id, known)

    async def _fetch_missing(self) -> None:
        while True:
            await self._behind.wait()
            self._behind = trio.Event()
            ahead = [h for h in self._directory.list_peers() if self._is_ahead(h.host_id)]
            if not ahead:
                continue
            source = self._rng.choice(ahead).host_id
            if await self.fetch_revision(source) is None:
                # Gossip or the next poll provides its revision again.
                self._peer_revisions.pop(source, None)
            if any(self._is_ahead(host.host_id) for host in ahead):
                self._behind.set()

    def _is_ahead(self, host_id: str) -> bool:
        return self._peer_revisions.get(host_id, 0) > self.revision

    async def _poll(self) -> None:
        while True:
            peer = self._peers.choose_poll_peer()
            if peer is not None:
                await self.fetch_revision(peer.host_id)
            period = POLL_SECONDS if self.revision else FIRST_POLL_SECONDS
            await trio.sleep(period * (0.75 + 0.25 * self._rng.random()))

    async def _request_update(
        self, host_id: str, kind: MessageKind, update: ListUpdate
    ) -> ListUpdate | None:
        deadline = trio.current_time() + PEER_SECONDS
        reply = await self._channel.request(host_id, kind, encode_update(update), deadline)
        if isinstance(reply, Err):
            return None
        return self._apply_update(host_id, reply.ok_value)

    async def _serve_changes(self, request: PeerRequest) -> bytes:
        self._apply_update(request.host_id, request.payload)
        return encode_update(self._replica.create_revision_message())

    async def _serve_revision(self, request: PeerRequest) -> bytes:
        update = self._apply_update(request.host_id, request.payload)
        known = self.revision if update is None else update.revision
        return encode_update(self._replica.create_update(known))

    def _apply_update(self, host_id: str, payload: bytes) -> ListUpdate | None:
        decoded = decode_update(payload)
        if isinstance(decoded, Err):
            LOG.write("ignored an unreadable message", peer=host_id, reason=decoded.err_value)
            return None
        update = decoded.ok_value
        self._replica.merge(update)
        self._notify()
        self.observe_peer_revision(host_id, update.revision)
        return update

    def _notify(self) -> None:
        self._advanced.set()
