"""Exchanges engine usage, lost endpoints and configuration versions with the other hosts."""

import random
import socket
from collections.abc import Collection

import trio

from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_socket import BeaconSocket, ReceivedBeacon
from gypsumpost_daemon.gateway.beacon_state import BeaconState
from gypsumpost_daemon.gateway.directory_exchange import DirectoryExchange
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.telemetry.log import Log

COALESCE_SECONDS = 0.02
"""Changes within this time are sent in one datagram."""

SECONDS_PER_PEER = 0.02
"""Minimum beacon interval per host of the domain, so that a host receives at most 50 a second."""

RELAY_SECONDS_PER_PEER = 0.005
"""Minimum interval of beacons between domains, per host of the deployment."""

LINK_FRACTION = 0.05
"""Fraction of the bandwidth that beacons may use; callers and engines need the rest."""

IDLE_SECONDS = 0.75
"""Beacon interval while nothing changes."""

INTRODUCTIONS = 2
"""Hosts of a new host's domain to which a seed forwards the new host's beacon."""

FAILURE_PAUSE_SECONDS = 0.2
"""Minimum time to the next beacon after one that could not be made."""

REORDERED_BEACONS = 64
BITS_PER_MEGABIT = 1e6

LOG = Log(prefix="peers")


class PeerExchange:
    """Sends and receives beacons.

    Each host sends its state to the hosts of its own domain. Two relays of a domain each send the
    totals of the domain to one relay of every other domain, which forwards them within its domain.
    Traffic between domains is expensive; in this way it grows with the number of engines and not
    with the square of the number of hosts.

    :param address: ``ip:port`` to receive beacons on; all hosts use the same port.
    :param seed_ips: addresses of hosts that introduce this host to others.
    :param hosts: the known hosts.
    :param gossip: membership, which is given the hosts from which beacons arrive.
    :param key: shared key of the deployment.
    :param state: the state that beacons carry.
    :param exchange: fetches directory changes from peers.
    """

    def __init__(
        self,
        *,
        address: str,
        seed_ips: Collection[str],
        hosts: HostDirectory,
        gossip: Gossip,
        key: KeyRing,
        state: BeaconState,
        exchange: DirectoryExchange,
    ) -> None:
        self._ip, self._port = split_address(address)
        self._seed_ips = seed_ips
        self._hosts = hosts
        self._domain = hosts.own.failure_domain
        self._gossip = gossip
        self._contacts: dict[str, Host] = {}
        self._key = key
        self._state = state
        self._roles = state.roles
        self._exchange = exchange
        self._seen: dict[tuple[str, bool], tuple[int, int]] = {}
        self._changed = trio.Event()
        self._domain_changed = trio.Event()
        self._loss_detected = trio.Event()
        self._domain_loss_detected = trio.Event()
        state.reports.add_listener(self._handle_loss)
        state.usage.add_listener(self.schedule_beacons)
        state.notices.add_listener(self._handle_loss)
        state.notices.add_limit_listener(self.schedule_beacons)
        state.crash_guard.add_listener(self._handle_loss)
        state.crash_guard.add_forward_listener(self._handle_forwarded_evidence)
        state.directory.add_listener(self.schedule_beacons)
        if state.rollouts is not None:
            state.rollouts.add_listener(self._handle_loss)

    def set_seeds(self, seed_ips: Collection[str]) -> None:
        """Replace the seed hosts.

        :param seed_ips: their addresses.
        """
        self._seed_ips = seed_ips

    def schedule_beacons(self) -> None:
        """Send beacons soon, because the state of this host has changed."""
        self.schedule_domain_beacons()
        self._domain_changed.set()

    def schedule_domain_beacons(self) -> None:
        """Send beacons to the hosts of the own domain soon."""
        self._changed.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send and receive beacons until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.setblocking(False)
            udp.bind((self._ip, self._port))
            beacons = BeaconSocket(udp=udp, port=self._port, key=self._key)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, beacons)
                nursery.start_soon(self._exchange.run)
                nursery.start_soon(self._report_to_other_domains, beacons)
                task_status.started()
                await self._report_to_domain(beacons)

    async def _report_to_domain(self, beacons: BeaconSocket) -> None:
        """Send the state of this host to the hosts of its domain, until cancelled."""
        while True:
            next_send_at = trio.current_time() + FAILURE_PAUSE_SECONDS
            with contain_errors(LOG, "a beacon to the own domain"):
                next_send_at = await self._send_to_domain(beacons)
            await trio.sleep(COALESCE_SECONDS)
            with trio.move_on_after(IDLE_SECONDS):
                await self._changed.wait()
            self._changed = trio.Event()
            # A loss is sent at once; other changes wait for the minimum interval.
            with trio.move_on_at(next_send_at):
                await self._loss_detected.wait()
            self._loss_detected = trio.Event()

    async def _report_to_other_domains(self, beacons: BeaconSocket) -> None:
        """Send the totals of the own domain to the other domains while this host is a relay."""
        while True:
            next_send_at = trio.current_time() + FAILURE_PAUSE_SECONDS
            with contain_errors(LOG, "a beacon to the other domains"):
                next_send_at = await self._send_to_other_domains(beacons)
            await trio.sleep(COALESCE_SECONDS)
            with trio.move_on_after(IDLE_SECONDS):
                await self._domain_changed.wait()
            self._domain_changed = trio.Event()
            with trio.move_on_at(next_send_at):
                await self._domain_loss_detected.wait()
            self._domain_loss_detected = trio.Event()

    def _handle_loss(self) -> None:
        self._loss_detected.set()
        self._domain_loss_detected.set()
        self.schedule_beacons()

    def _handle_forwarded_evidence(self) -> None:
        # The sender has told the hosts of its own domain; relays tell the other domains at once.
        self._domain_loss_detected.set()
        self.schedule_beacons()

    async def _send_to_domain(self, beacons: BeaconSocket) -> float:
        """Send beacons and return the monotonic time before which no others should be sent."""
        now = trio.current_time()
        peers = self._hosts.list_peers()
        domain_ips = self._list_domain_ips(peers)
        # Membership needs the ids of hosts, which are known only from their beacons.
        known = {find_ip(host) for host in self._hosts.list_known()}
        unknown = [ip for ip in self._seed_ips if ip not in known]
        data = beacons.encode(self._state.create_beacon(now))
        sent = await beacons.send(data, [*domain_ips, *unknown], dated_at=now)
        return now + max(self._compute_pause(sent), SECONDS_PER_PEER * len(domain_ips))

    async def _send_to_other_domains(self, beacons: BeaconSocket) -> float:
        """Send beacons and return the monotonic time before which no others should be sent."""
        now = trio.current_time()
        peers = self._hosts.list_peers()
        next_send_at = now + RELAY_SECONDS_PER_PEER * len(peers)
        relay_index = self._roles.get_relay_index(now)
        domains = {host.failure_domain for host in peers} - {self._domain}
        if relay_index is None or not domains:
            return next_send_at
        beacon = self._state.create_domain_beacon(now)
        relays = []
        for domain in sorted(domains):
            hosts = [host for host in peers if host.failure_domain == domain]
            relay = self._roles.choose_relay(hosts, relay_index, now)
            if relay is not None:
                relays.append(find_ip(relay))
        sent = await beacons.send(beacons.encode(beacon), relays, dated_at=now)
        return max(next_send_at, now + self._compute_pause(sent))

    def _compute_pause(self, sent: int) -> float:
        """Return the pause in seconds after which sent bytes are within ``LINK_FRACTION``."""
        return sent * 8 / (LINK_FRACTION * self._roles.link_mbps * BITS_PER_MEGABIT)

    def _list_domain_ips(self, peers: list[Host]) -> list[str]:
        return [find_ip(host) for host in peers if host.failure_domain == self._domain]

    async def _receive(self, beacons: BeaconSocket) -> None:
        async for received in beacons.receive_all():
            with contain_errors(LOG, "a received beacon", peer=received.beacon.host.host_id):
                await self._apply(beacons, received)

    async def _apply(self, beacons: BeaconSocket, received: ReceivedBeacon) -> None:
        self._add_contact(received.beacon)
        if self._is_new(received.beacon):
            self._handle_beacon(received, trio.current_time())
            if received.source == received.beacon.ip:
                await self._forward(beacons, received)

    async def _forward(self, beacons: BeaconSocket, received: ReceivedBeacon) -> None:
        """Forward a beacon that came directly from its sender to hosts that it did not reach."""
        sender = received.beacon.host
        if received.beacon.covers_domain:
            ips = self._list_domain_ips(self._hosts.list_peers())
            await beacons.send(received.data, ips, dated_at=received.arrived_after)
        elif sender.failure_domain != self._domain:
            # In a domain without seeds, a new host is introduced to the others in this way.
            others = [
                find_ip(host)
                for host in self._contacts.values()
                if host.failure_domain == sender.failure_domain and host.host_id != sender.host_id
            ]
            chosen = random.sample(others, min(INTRODUCTIONS, len(others)))
            await beacons.send(received.data, chosen, dated_at=received.arrived_after)

    def _add_contact(self, beacon: Beacon) -> None:
        host_id = beacon.host.host_id
        known = self._contacts.get(host_id) or self._hosts.get(host_id)
        own = self._hosts.own
        if known is not None and find_ip(known) == beacon.ip:
            return
        self._contacts[host_id] = Host(
            host_id=host_id,
            failure_domain=beacon.host.failure_domain,
            peer_address=f"{beacon.ip}:{split_address(own.peer_address)[1]}",
            gossip_address=f"{beacon.ip}:{split_address(own.gossip_address)[1]}",
            api_address=f"{beacon.ip}:{split_address(own.api_address)[1]}",
        )
        self._gossip.set_contacts(self._contacts.values())

    def _is_new(self, beacon: Beacon) -> bool:
        key = (beacon.host.host_id, beacon.covers_domain)
        last_incarnation, last_sequence = self._seen.get(key, (0, 0))
        # A much lower number comes from a host that restarted after its clock was set back, or has
        # waited for long at a relay; then it is of the same process.
        same_process = beacon.incarnation == last_incarnation != 0
        if beacon.sequence <= last_sequence and (
            same_process or beacon.sequence > last_sequence - REORDERED_BEACONS
        ):
            return False
        self._seen[key] = (beacon.incarnation, beacon.sequence)
        return True

    def _handle_beacon(self, received: ReceivedBeacon, now: float) -> None:
        if self._state.apply(received.beacon, now, arrived_after=received.arrived_after):
            self._domain_changed.set()
        self._exchange.handle_beacon(
            received.beacon,
            arrived_after=received.arrived_after,
            watching=self._state.follower.watching,
        )


def find_ip(host: Host) -> str:
    """Return the IP address of a host.

    :param host: the host.
    """
    return split_address(host.peer_address)[0]
