"""Fetches directory changes from peers."""

import math

import trio
from result import Err

from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.directory_codec import (
    decode_directory_request,
    decode_state,
    encode_directory_request,
    encode_state,
)
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

COALESCE_SECONDS = 0.1
"""Changes within this time are fetched together."""

FETCH_DELAY_SECONDS = 0.2
"""How long to wait for the store, or a peer of the own domain, to deliver a change before it is
fetched from another host that has it."""

REPLY_SECONDS = 1.0

LOG = Log(prefix="peers")


class DirectoryExchange:
    """Fetches changes from peers that are ahead and serves them to peers that are behind.

    :param own_domain: failure domain of this host.
    :param directory: configuration and endpoints.
    :param network: requests to peers.
    """

    def __init__(self, *, own_domain: str, directory: Directory, network: PeerNetwork) -> None:
        self._own_domain = own_domain
        self._directory = directory
        self._network = network
        self._due = math.inf
        self._ahead_beacon: Beacon | None = None
        self._changed = trio.Event()
        network.add_handler(MessageKind.DIRECTORY_STATE, self._handle_request)

    def handle_beacon(self, beacon: Beacon, *, watching: bool) -> None:
        """Schedule a fetch if a peer is ahead of this host.

        :param beacon: the peer's beacon.
        :param watching: true if this host watches the store itself.
        """
        if not self._is_ahead(beacon):
            return
        self._directory.record_named_version(beacon.version)
        same_domain = beacon.host.failure_domain == self._own_domain
        delay = COALESCE_SECONDS if same_domain and not watching else FETCH_DELAY_SECONDS
        due = trio.current_time() + delay
        if due < self._due:
            self._due = due
            self._ahead_beacon = beacon
            self._changed.set()
        elif (
            same_domain
            and self._ahead_beacon is not None
            and self._is_faster(beacon, self._ahead_beacon)
        ):
            self._ahead_beacon = beacon

    async def run(self) -> None:
        """Fetch changes from peers that are ahead, until cancelled."""
        while True:
            with trio.move_on_at(self._due):
                await self._changed.wait()
            if self._changed.is_set():
                self._changed = trio.Event()
                continue
            self._due = math.inf
            if self._ahead_beacon is not None and self._is_ahead(self._ahead_beacon):
                await self._fetch(self._ahead_beacon)

    def _is_ahead(self, beacon: Beacon) -> bool:
        directory = self._directory
        return (
            beacon.version > directory.version
            or beacon.endpoint_revision > directory.endpoint_revision
        )

    def _is_faster(self, beacon: Beacon, other: Beacon) -> bool:
        """Return true if a peer can send a large configuration faster than another one."""
        if other.host.failure_domain != self._own_domain:
            return True
        return beacon.host.link_mbps > other.host.link_mbps

    async def _fetch(self, beacon: Beacon) -> None:
        host_id = beacon.host.host_id
        started_at = trio.current_time()
        deadline = started_at + REPLY_SECONDS
        payload = encode_directory_request(self._directory.list_revisions())
        reply = await self._network.request(host_id, MessageKind.DIRECTORY_STATE, payload, deadline)
        if isinstance(reply, Err):
            self._network.drop_link(host_id)
            LOG.write(
                "failed to fetch the directory of a peer",
                peer=host_id,
                reason=reply.err_value.reason,
                waited_seconds=round(trio.current_time() - started_at, 3),
            )
            return
        decoded = decode_state(reply.ok_value)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode the directory of a peer", peer=host_id, reason=decoded.err_value
            )
            return
        for entry in decoded.ok_value:
            self._directory.apply_set(entry, host_id)
        if self._is_ahead(beacon):
            LOG.write(
                "a peer that is ahead has sent nothing newer",
                peer=host_id,
                peer_version=beacon.version,
                version=self._directory.version,
                peer_endpoint_revision=beacon.endpoint_revision,
                endpoint_revision=self._directory.endpoint_revision,
                known=self._directory.list_revisions(),
            )

    async def _handle_request(self, request: PeerRequest) -> bytes:
        decoded = decode_directory_request(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode a request for the directory",
                peer=request.host_id,
                reason=decoded.err_value,
            )
            return encode_state(())
        return encode_state(self._directory.list_sets(decoded.ok_value))
