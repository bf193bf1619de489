"""Exchanges work, losses and the directory with the other hosts."""

import hmac
import itertools
import time
from collections.abc import Collection

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.loss_report import LossReport
from gypsumpost_core.gateway.use_table import UseTable
from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import (
    decode_beacon,
    decode_state,
    encode_beacon,
    encode_state,
)
from gypsumpost_daemon.gateway.crash_guard import CrashGuard
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor
from gypsumpost_daemon.gossip import Gossip
from gypsumpost_daemon.gossip_codec import MAC_BYTES, sign_datagram
from gypsumpost_daemon.host_directory import HostDirectory
from gypsumpost_daemon.log import Log
from gypsumpost_daemon.message_kind import MessageKind
from gypsumpost_daemon.peer_network import PeerNetwork
from gypsumpost_daemon.peer_request import PeerRequest

CHANGE_SECONDS = 0.02
"""Changes within this time go out in one datagram."""

SECONDS_PER_PEER = 0.0025
"""Shortest interval of beacons for each peer, so that a host gets 400 of them a second at most."""

IDLE_SECONDS = 0.5
"""Interval of beacons when nothing changes."""

LOSS_REPORT_SECONDS = 1.0
"""How long a loss is repeated, as datagrams are lost."""

BEHIND_SECONDS = 0.2
"""How long the store may bring what a peer already has before it is asked of the peer."""

STATE_SECONDS = 0.5
REORDERED_BEACONS = 64
RECEIVE_BYTES = 65536

LOG = Log(prefix="peers")


class PeerExchange:
    """Owns the socket of the beacons.

    :param address: ``ip:port`` to receive beacons on; all hosts use the same port.
    :param seed_ips: addresses of hosts that may know others.
    :param hosts: the known hosts.
    :param gossip: membership, which learns of hosts that make themselves known.
    :param network: requests to peers.
    :param key: shared key of the deployment.
    :param directory: configuration and endpoints.
    :param monitor: finds lost endpoints.
    :param use: work on the engines.
    :param crashes: requests that crash engines.
    :param copies: where the copies of streams are.
    """

    def __init__(
        self,
        *,
        address: str,
        seed_ips: Collection[str],
        hosts: HostDirectory,
        gossip: Gossip,
        network: PeerNetwork,
        key: KeyRing,
        directory: Directory,
        monitor: EndpointMonitor,
        use: UseTable,
        crashes: CrashGuard,
        copies: CopyDirectory,
    ) -> None:
        self._ip, self._port = split_address(address)
        self._seed_ips = seed_ips
        self._hosts = hosts
        self._gossip = gossip
        self._contacts: dict[str, Host] = {}
        self._network = network
        self._key = key
        self._directory = directory
        self._monitor = monitor
        self._use = use
        self._crashes = crashes
        self._copies = copies
        # A host that starts again goes on with higher numbers.
        self._sequence = itertools.count(int(time.time() * 1000))
        self._seen: dict[str, int] = {}
        self._losses: dict[LossReport, float] = {}
        self._behind_since: float | None = None
        self._ahead: Beacon | None = None
        self._changed = trio.Event()
        self._lost = trio.Event()
        network.add_handler(MessageKind.DIRECTORY_STATE, self._handle_state)
        monitor.listen(
            lambda record, reason: self._note_loss(record.endpoint_id, record.started_at)
        )
        use.listen(self.note_change)
        crashes.listen(self.note_change)

    def note_change(self) -> None:
        """Send a beacon soon."""
        self._changed.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send and receive beacons until cancelled."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as udp:
            await udp.bind((self._ip, self._port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, udp)
                nursery.start_soon(self._catch_up)
                task_status.started()
                while True:
                    sent_at = trio.current_time()
                    await self._send(udp)
                    await trio.sleep(CHANGE_SECONDS)
                    with trio.move_on_after(IDLE_SECONDS):
                        await self._changed.wait()
                    self._changed = trio.Event()
                    # A loss is worth a datagram at once, other changes wait for their turn.
                    quiet_until = sent_at + SECONDS_PER_PEER * len(self._hosts.list_peers())
                    with trio.move_on_at(quiet_until):
                        await self._lost.wait()
                    self._lost = trio.Event()

    def _note_loss(self, endpoint_id: str, started_at: int) -> None:
        report = LossReport(endpoint_id=endpoint_id, started_at=started_at)
        self._losses[report] = trio.current_time() + LOSS_REPORT_SECONDS
        self._lost.set()
        self.note_change()

    async def _send(self, udp: trio.socket.SocketType) -> None:
        now = trio.current_time()
        self._losses = {loss: until for loss, until in self._losses.items() if until > now}
        beacon = Beacon(
            host_id=self._hosts.own.host_id,
            failure_domain=self._hosts.own.failure_domain,
            sequence=next(self._sequence),
            version=self._directory.version,
            endpoint_revision=self._directory.endpoint_revision,
            uses=self._use.sum_own(),
            losses=tuple(self._losses),
            crashes=self._crashes.list_reports(now),
            copies=self._copies.list_own(),
        )
        # Callers of a lost host come back within its domain, and traffic between domains is dear.
        near = self._sign(beacon, now)
        far = self._sign(attrs.evolve(beacon, copies=()), now)
        own_domain = self._hosts.own.failure_domain
        for host in self._hosts.list_peers():
            data = near if host.failure_domain == own_domain else far
            await self._send_to(udp, split_address(host.peer_address)[0], data)
        # Membership needs the names of hosts, which only their beacons tell.
        known = {split_address(host.peer_address)[0] for host in self._hosts.list_known()}
        for ip in self._seed_ips:
            if ip not in known:
                await self._send_to(udp, ip, far)

    def _sign(self, beacon: Beacon, now: float) -> bytes:
        body = encode_beacon(beacon)
        return sign_datagram(self._key.choose_signing(now), body) + body

    async def _send_to(self, udp: trio.socket.SocketType, ip: str, data: bytes) -> None:
        try:
            await udp.sendto(data, (ip, self._port))
        except OSError as error:
            LOG.write("a beacon was not sent", ip=ip, reason=str(error))

    async def _receive(self, udp: trio.socket.SocketType) -> None:
        while True:
            try:
                data, source = await udp.recvfrom(RECEIVE_BYTES)
            except OSError as error:
                LOG.write("cannot receive", reason=str(error))
                continue
            now = trio.current_time()
            mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
            if not any(
                hmac.compare_digest(mac, sign_datagram(key, body))
                for key in self._key.list_accepted(now)
            ):
                LOG.write("ignored a datagram with a wrong code")
                continue
            decoded = decode_beacon(body)
            if isinstance(decoded, Err):
                LOG.write("ignored a datagram", reason=decoded.err_value)
                continue
            self._meet(decoded.ok_value, source[0])
            self._take(decoded.ok_value, now)

    def _meet(self, beacon: Beacon, ip: str) -> None:
        known = self._contacts.get(beacon.host_id) or self._hosts.get(beacon.host_id)
        own = self._hosts.own
        if known is not None and split_address(known.peer_address)[0] == ip:
            return
        self._contacts[beacon.host_id] = Host(
            host_id=beacon.host_id,
            failure_domain=beacon.failure_domain,
            peer_address=f"{ip}:{split_address(own.peer_address)[1]}",
            gossip_address=f"{ip}:{split_address(own.gossip_address)[1]}",
            api_address=f"{ip}:{split_address(own.api_address)[1]}",
        )
        self._gossip.take_contacts(self._contacts.values())

    def _take(self, beacon: Beacon, now: float) -> None:
        last = self._seen.get(beacon.host_id, 0)
        # A much lower number is that of a host whose clock was set back before it started again.
        if last - REORDERED_BEACONS < beacon.sequence <= last:
            return
        self._seen[beacon.host_id] = beacon.sequence
        self._use.take_report(beacon.host_id, beacon.uses, now)
        self._copies.take_reports(beacon.copies, now)
        for loss in beacon.losses:
            self._take_loss(loss, beacon.host_id, now)
        for crash in beacon.crashes:
            self._crashes.take_report(crash, now)
        if self._is_ahead(beacon):
            self._ahead = beacon
            if self._behind_since is None:
                self._behind_since = now

    def _is_ahead(self, beacon: Beacon) -> bool:
        directory = self._directory
        return (
            beacon.version > directory.version
            or beacon.endpoint_revision > directory.endpoint_revision
        )

    def _take_loss(self, loss: LossReport, host_id: str, now: float) -> None:
        fleet = self._directory.fleet
        state = fleet.find(loss.endpoint_id)
        if state is None or state.lost or state.record.started_at != loss.started_at:
            return
        if state.alive_at < now - LOSS_REPORT_SECONDS / 4:
            fleet.suspect_domain(state.record, now)
            self._monitor.suspect(state.record, f"lost at {host_id}")

    async def _catch_up(self) -> None:
        while True:
            await trio.sleep(BEHIND_SECONDS / 2)
            since = self._behind_since
            if since is None or trio.current_time() < since + BEHIND_SECONDS:
                continue
            self._behind_since = None
            if self._ahead is not None and self._is_ahead(self._ahead):
                await self._fetch(self._ahead.host_id)

    async def _fetch(self, host_id: str) -> None:
        deadline = trio.current_time() + STATE_SECONDS
        reply = await self._network.request(host_id, MessageKind.DIRECTORY_STATE, b"", deadline)
        if isinstance(reply, Err):
            self._network.drop_link(host_id)
            LOG.write("a peer gave no directory", peer=host_id, reason=reply.err_value.reason)
            return
        decoded = decode_state(reply.ok_value)
        if isinstance(decoded, Err):
            LOG.write("cannot read a directory", peer=host_id, reason=decoded.err_value)
            return
        for entry in decoded.ok_value:
            if entry.prefix in self._directory.tables:
                self._directory.replace(entry.prefix, entry.items, entry.revision, host_id)

    async def _handle_state(self, request: PeerRequest) -> bytes:
        return encode_state(self._directory.list_sets())
