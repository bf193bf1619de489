"""Fetches directory changes from peers."""

from collections.abc import Callable, Mapping

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.directory_source import DirectorySource
from gypsumpost_core.gateway.directory_sources import DirectorySources
from gypsumpost_core.gateway.late_changes import LateChanges
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.directory_codec import (
    decode_directory_query,
    decode_state,
    encode_directory_query,
    encode_state,
)
from gypsumpost_daemon.gateway.directory_query import DirectoryQuery
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

REPLY_SECONDS = 1.0
MILLISECONDS = 1000

LATE_CHECK_SECONDS = 0.1
"""Interval at which a host checks whether changes that peers name are still lacking."""

LARGE_REPLY_BYTES = 65536
"""Replies from this size on are logged: they take long on a slow link."""

LOG = Log(prefix="peers")


class DirectoryExchange:
    """Fetches changes from peers that are ahead and serves them to peers that are behind.

    :param own_domain: failure domain of this host.
    :param directory: configuration and endpoints.
    :param network: requests to peers.
    :param record_change: called with the prefix of a change that a peer has sent, and the peer.
    :param ask_store: called with a prefix under which changes are lacking that no peer has sent in
        time; must not block.
    :param count_domain_hosts: returns the number of hosts of the domain.
    :param metrics: counters of the gateway.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        directory: Directory,
        network: PeerNetwork,
        record_change: Callable[[str, str], None],
        ask_store: Callable[[str], None],
        count_domain_hosts: Callable[[], int],
        metrics: GatewayMetrics,
    ) -> None:
        self._directory = directory
        self._record_change = record_change
        self._ask_store = ask_store
        self._count_domain_hosts = count_domain_hosts
        self._late = LateChanges()
        self._awaited: dict[str, DirectorySource] = {}
        self._metrics = metrics
        self._network = network
        self._reached_position = StorePosition()
        self._sources = DirectorySources(own_domain=own_domain)
        self._changed = trio.Event()
        network.add_handler(MessageKind.DIRECTORY_STATE, self._handle_request)

    def handle_beacon(self, beacon: Beacon, *, arrived_after: float, watching: bool) -> None:
        """Schedule a fetch if a peer is ahead of this host.

        :param beacon: the peer's beacon.
        :param arrived_after: moment before its arrival, as monotonic time in seconds.
        :param watching: true if this host watches the store itself.
        """
        source = DirectorySource(
            host_id=beacon.host.host_id,
            failure_domain=beacon.host.failure_domain,
            link_mbps=beacon.host.link_mbps,
            version=beacon.version,
            endpoint_position=StorePosition(
                era=self._directory.resolve_era(beacon.era), revision=beacon.endpoint_revision
            ),
        )
        if beacon.confirmed_ms_ago is not None:
            confirmed_at = arrived_after - beacon.confirmed_ms_ago / MILLISECONDS
            self._directory.record_peer_confirmation(
                beacon.version, source.endpoint_position.era, confirmed_at
            )
        if self._is_ahead(source):
            self._directory.freshness.record_named(source.version)
            now = trio.current_time()
            self._sources.put(source, now, watching=watching)
            lacking = self._list_lacking(source)
            for prefix in lacking:
                self._awaited.setdefault(prefix, source)
            self._late.record_named(lacking, self._count_domain_hosts(), now)
            self._changed.set()

    async def run(self) -> None:
        """Fetch changes from peers that are ahead, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_when_late)
            await self._fetch_changes()

    async def _ask_when_late(self) -> None:
        """Ask the store for what peers have named and not sent, while they are still asked."""
        while True:
            await trio.sleep(LATE_CHECK_SECONDS)
            # Where changes follow each other, the newest one is always lacking for a moment.
            self._awaited = {
                prefix: source
                for prefix, source in self._awaited.items()
                if prefix in self._list_lacking(source)
            }
            hosts = self._count_domain_hosts()
            for prefix in self._late.take_due(self._awaited, hosts, trio.current_time()):
                LOG.write("no peer has sent a change in time", prefix=prefix)
                self._ask_store(prefix)

    def _list_lacking(self, source: DirectorySource) -> list[str]:
        """Return the prefixes under which this host lacks what a peer has named."""
        if not self._is_ahead(source):
            return []
        return self._directory.list_behind(source.version, source.endpoint_position)

    async def _fetch_changes(self) -> None:
        while True:
            with trio.move_on_at(self._sources.compute_due()):
                await self._changed.wait()
            self._changed = trio.Event()
            if trio.current_time() < self._sources.compute_due():
                continue
            self._sources.drop_reached(self._directory.version, self._endpoint_position)
            source = self._sources.choose(trio.current_time())
            if source is None:
                continue
            fetched = False
            with contain_errors(LOG, "a fetch of the directory", peer=source.host_id):
                fetched = await self._fetch(source)
            if not fetched:
                self._sources.record_failure(source.host_id, trio.current_time())

    @property
    def _endpoint_position(self) -> StorePosition:
        return max(self._directory.endpoint_position, self._reached_position)

    def _is_ahead(self, source: DirectorySource) -> bool:
        return source.is_ahead(self._directory.version, self._endpoint_position)

    async def _fetch(self, source: DirectorySource) -> bool:
        """Fetch changes from a peer; return true if it has sent all that it named."""
        known = self._directory.tables.list_positions()
        sets = await self._request_sets(source, known)
        if sets is None:
            return False
        lacking = [entry.prefix for entry in sets if self._directory.tables.lacks_kept(entry)]
        self._apply(sets, source)
        if not self._is_ahead(source) and not lacking:
            return True
        # The reply does not hold what the peer named, or leaves out an item that is not known here,
        # so the known revision may be too high. The peer sends all items to a host that knows none.
        behind = self._directory.list_behind(source.version, source.endpoint_position)
        in_doubt = {*lacking, *behind}
        LOG.write(
            (
                "a peer has left out an item that is not known"
                if lacking
                else "a peer that is ahead has sent nothing newer"
            ),
            peer=source.host_id,
            peer_version=source.version,
            version=self._directory.version,
            peer_endpoint_position=attrs.asdict(source.endpoint_position),
            endpoint_position=attrs.asdict(self._directory.endpoint_position),
            known=list_revisions(known),
        )
        known = self._directory.tables.list_positions() | dict.fromkeys(in_doubt, StorePosition())
        sets = await self._request_sets(source, known)
        if sets is None or len(sets) < len(known):
            return False  # The peer does not hold all items itself.
        if not self._directory.tables.can_use(sets):
            return False  # The peer knows another era, or none.
        for prefix in in_doubt:
            self._directory.tables.forget_revision(prefix)
        self._apply(sets, source)
        # A peer that has found an endpoint missing in a complete read names the revision of that
        # read, which is higher than that of the removal.
        self._reached_position = source.endpoint_position
        return not self._is_ahead(source)

    def _apply(self, sets: list[ItemSet], source: DirectorySource) -> None:
        for entry in sets:
            if self._directory.apply_set(entry, source.host_id):
                self._record_change(entry.prefix, source.host_id)

    async def _request_sets(
        self, source: DirectorySource, known: Mapping[str, StorePosition]
    ) -> list[ItemSet] | None:
        """Request what a peer knows after the given revisions, ``None`` if it does not reply."""
        host_id = source.host_id
        started_at = trio.current_time()
        deadline = started_at + REPLY_SECONDS
        payload = encode_directory_query(DirectoryQuery(known=known))
        reply = await self._network.request(host_id, MessageKind.DIRECTORY_STATE, payload, deadline)
        if isinstance(reply, Err):
            self._network.drop_link(host_id)
            LOG.write(
                "failed to fetch the directory of a peer",
                peer=host_id,
                reason=reply.err_value.reason,
                waited_seconds=round(trio.current_time() - started_at, 3),
            )
            return None
        waited = round(trio.current_time() - started_at, 3)
        size = len(reply.ok_value)
        self._log_if_large("fetched a large directory", host_id, size, known, waited_seconds=waited)
        decoded = decode_state(reply.ok_value)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode the directory of a peer", peer=host_id, reason=decoded.err_value
            )
            return None
        return decoded.ok_value

    async def _handle_request(self, request: PeerRequest) -> bytes:
        decoded = decode_directory_query(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode a request for the directory",
                peer=request.host_id,
                reason=decoded.err_value,
            )
            return encode_state(())
        query = decoded.ok_value
        sets = self._directory.tables.list_sets(query)
        reply = encode_state(sets, compressed=query.accepts_compressed)
        form = "changes" if all(entry.partial or entry.kept for entry in sets) else "all"
        self._metrics.count_directory_reply(form, len(reply))
        self._log_if_large("sends a large directory", request.host_id, len(reply), query.known)
        return reply

    def _log_if_large(
        self,
        message: str,
        peer: str,
        size: int,
        known: Mapping[str, StorePosition],
        **fields: float,
    ) -> None:
        if size >= LARGE_REPLY_BYTES:
            first = self._directory.tables.list_first_revisions()
            LOG.write(
                message,
                peer=peer,
                size=size,
                known=list_revisions(known),
                complete_since=first,
                **fields,
            )


def list_revisions(positions: Mapping[str, StorePosition]) -> dict[str, int]:
    """Return the revisions of positions, for the log.

    :param positions: the positions by prefix.
    """
    return {prefix: position.revision for prefix, position in positions.items()}
