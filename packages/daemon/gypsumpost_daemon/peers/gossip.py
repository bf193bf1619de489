"""Task that owns the UDP socket of membership."""

import random
import time
from collections.abc import Callable, Iterable

import trio
from result import Err

from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_core.membership.forget_host import ForgetHost
from gypsumpost_core.membership.membership import Membership
from gypsumpost_core.membership.membership_decision import MembershipDecision
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_core.membership.report_list_revision import ReportListRevision
from gypsumpost_core.membership.send_datagram import SendDatagram
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.peers.gossip_codec import GossipCodec
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.telemetry.log import CLOCK, Log

RECEIVE_BYTES = 2048
LOG_INTERVAL_SECONDS = 10.0
"""Minimum time between two log lines about rejected datagrams, since anyone can send them."""

RevisionListener = Callable[[str, int], None]

LOG = Log(prefix="gossip")


class Gossip:
    """Runs the membership state machine and keeps the directory of hosts up to date.

    :param directory: the directory to update; its own host gives the socket's address.
    :param key: the shared key of the deployment.
    :param settings: intervals and limits.
    :param seeds: hosts from the settings.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        key: bytes | KeyRing,
        settings: MembershipSettings,
        seeds: Iterable[Host] = (),
        rng: random.Random | None = None,
    ) -> None:
        self._directory = directory
        self._codec = GossipCodec(key=key)
        self._settings = settings
        self._membership = Membership(
            own=directory.own,
            boot_time=time.time(),
            settings=settings,
            rng=rng or random.Random(),
        )
        self._revision_listeners: list[RevisionListener] = []
        self._socket: trio.socket.SocketType | None = None
        self._next_log = 0.0
        self._rejected = 0
        self._set_seeds("settings", list(seeds))

    def set_list_revision(self, revision: int) -> None:
        """Set the revision of the operators' lists that this daemon announces.

        :param revision: the revision in use.
        """
        self._membership.set_list_revision(revision)

    def add_revision_listener(self, listener: RevisionListener) -> None:
        """Register a listener for list revisions newer than any seen before.

        :param listener: called with the peer's host id and the revision; must not block.
        """
        self._revision_listeners.append(listener)

    def handle_host_list(self, snapshot: HostListSnapshot) -> None:
        """Use the hosts of the platform's list as seeds.

        :param snapshot: the list.
        """
        self._set_seeds("platform", [listed.host for listed in snapshot.hosts])

    def set_contacts(self, hosts: Iterable[Host]) -> None:
        """Use hosts that have contacted this daemon as seeds.

        :param hosts: the hosts.
        """
        self._set_seeds("contacts", list(hosts))

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Bind the socket and take part in membership until cancelled."""
        ip, port = split_address(self._directory.own.gossip_address)
        family = trio.socket.AF_INET6 if ":" in ip else trio.socket.AF_INET
        with trio.socket.socket(family, trio.socket.SOCK_DGRAM) as udp:
            await udp.bind((ip, port))
            self._socket = udp
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._tick)
                task_status.started()

    async def leave(self) -> None:
        """Announce to other hosts that this daemon is leaving."""
        LOG.write("announcing that this host is leaving")
        await self._carry_out(self._membership.leave(trio.current_time()))

    async def _tick(self) -> None:
        while True:
            with contain_errors(LOG, "a tick"):
                await self._carry_out(self._membership.tick(trio.current_time()))
            await trio.sleep(self._settings.tick)

    async def _receive(self) -> None:
        assert self._socket is not None
        while True:
            try:
                data, _ = await self._socket.recvfrom(RECEIVE_BYTES)
            except OSError as error:
                self._record_rejected(str(error))
                continue
            decoded = self._codec.decode(data, trio.current_time())
            if isinstance(decoded, Err):
                self._record_rejected(decoded.err_value)
                continue
            datagram = decoded.ok_value
            with contain_errors(LOG, "a datagram"):
                CLOCK.observe(datagram.clock)
                now = trio.current_time()
                await self._carry_out(self._membership.handle_datagram(datagram, now))

    async def _carry_out(self, decisions: list[MembershipDecision]) -> None:
        for decision in decisions:
            if isinstance(decision, SendDatagram):
                await self._send(decision)
            else:
                self._report(decision)

    async def _send(self, decision: SendDatagram) -> None:
        if self._socket is None:
            return
        data = self._codec.encode(decision.datagram, CLOCK.read(time.time()), trio.current_time())
        try:
            await self._socket.sendto(data, split_address(decision.address))
        except OSError as error:
            # Treated like a lost datagram; probes detect whether the host is reachable.
            self._record_rejected(str(error))

    def _report(self, decision: ReportHost | ForgetHost | ReportListRevision) -> None:
        if isinstance(decision, ReportHost):
            self._report_host(decision)
        elif isinstance(decision, ForgetHost):
            self._directory.forget(decision.host_id)
        else:
            for listener in self._revision_listeners:
                listener(decision.host_id, decision.revision)

    def _report_host(self, report: ReportHost) -> None:
        host_id = report.host.host_id
        if self._directory.get_state(host_id) is not report.state:
            LOG.write(
                f"{host_id} is {report.state.name.lower()}",
                peer=host_id,
                incarnation=report.incarnation,
                health_factor=self._membership.health_factor,
            )
        self._directory.update(
            report.host, report.live, state=report.state, incarnation=report.incarnation
        )

    def _set_seeds(self, source: str, hosts: list[Host]) -> None:
        for decision in self._membership.set_seeds(source, hosts):
            if isinstance(decision, ReportHost):
                self._report_host(decision)

    def _record_rejected(self, reason: str) -> None:
        self._rejected += 1
        now = trio.current_time()
        if now >= self._next_log:
            self._next_log = now + LOG_INTERVAL_SECONDS
            LOG.write("datagrams failed", reason=reason, total=self._rejected)
