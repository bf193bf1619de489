"""Runs many members in one process on a simulated clock, for tests and experiments."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.forget_host import ForgetHost
from gypsumpost_core.membership.membership import Membership
from gypsumpost_core.membership.membership_decision import MembershipDecision
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_core.membership.send_datagram import SendDatagram
from gypsumpost_core.membership.simulated_member import SimulatedMember

SOCKET_BUFFER_DATAGRAMS = 1000


def create_hosts(domains: int, hosts_per_domain: int) -> list[Host]:
    """Return hosts with distinct names and addresses.

    :param domains: number of failure domains.
    :param hosts_per_domain: hosts in each.
    """
    hosts = []
    for domain, number in itertools.product(range(domains), range(hosts_per_domain)):
        ip = f"10.{domain}.{number // 250}.{number % 250 + 1}"
        host = Host(
            host_id=f"host-{domain}-{number}",
            failure_domain=f"domain-{domain}",
            peer_address=f"{ip}:8081",
            gossip_address=f"{ip}:8082",
            api_address=f"{ip}:8080",
        )
        hosts.append(host)
    return hosts


class MembershipSimulation:
    """Delivers datagrams between the simulated members.

    :param hosts: all hosts, which are also the seeds.
    :param seed: seed of the random number generators.
    :param loss: fraction of datagrams that are lost.
    :param measure: returns the encoded size of a datagram in bytes.
    :param latency: mean delay of a datagram in seconds.
    """

    def __init__(
        self,
        *,
        hosts: list[Host],
        seed: int,
        loss: float = 0.0,
        measure: Callable[[Datagram], int] | None = None,
        latency: float = 0.001,
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.is_cut: Callable[[Host, Host], bool] = lambda sender, receiver: False
        self.listener: Callable[[float, str, ReportHost], None] = lambda now, observer, report: None
        self.members: dict[str, SimulatedMember] = {}
        self._hosts = hosts
        self._settings = MembershipSettings()
        self._rng = random.Random(seed)
        self.measure = measure
        self._latency = latency
        self._by_address = {host.gossip_address: host.host_id for host in hosts}
        self._events: list[tuple[float, int, str, Datagram | None]] = []
        self._numbers = itertools.count()
        for host in hosts:
            self.start(host)
            self._schedule(self._rng.random() * self._settings.tick, host.host_id, None)

    def start(self, host: Host) -> SimulatedMember:
        """Start a member, or restart it with a new process.

        :param host: the host.
        """
        membership = Membership(
            own=host,
            boot_time=1e9 + self.now,
            settings=self._settings,
            rng=random.Random(self._rng.random()),
        )
        member = SimulatedMember(host=host, membership=membership)
        self.members[host.host_id] = member
        self.carry_out(member, membership.set_seeds("settings", self._hosts))
        return member

    def resume(self, host_id: str) -> None:
        """Resume a paused member; datagrams buffered during the pause are delivered first.

        :param host_id: the paused member.
        """
        member = self.members[host_id]
        member.paused = False
        buffer, member.buffer = member.buffer, []
        for datagram in buffer:
            self.deliver(host_id, datagram)

    def run(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: simulated time to run for.
        """
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, host_id, datagram = heapq.heappop(self._events)
            if datagram is None:
                self._tick(host_id)
            else:
                self.deliver(host_id, datagram)
        self.now = end

    def deliver(self, host_id: str, datagram: Datagram) -> None:
        """Deliver a datagram to a member.

        :param host_id: the receiver.
        :param datagram: the datagram.
        """
        member = self.members[host_id]
        if member.paused:
            member.buffer = (member.buffer + [datagram])[:SOCKET_BUFFER_DATAGRAMS]
        elif member.running:
            member.clock.observe(datagram.clock)
            self.carry_out(member, member.membership.handle_datagram(datagram, self.now))

    def carry_out(self, member: SimulatedMember, decisions: list[MembershipDecision]) -> None:
        """Execute a member's decisions.

        :param member: the member.
        :param decisions: its decisions.
        """
        for decision in decisions:
            if isinstance(decision, SendDatagram):
                self._send(member, decision)
            elif isinstance(decision, ReportHost):
                member.view[decision.host.host_id] = decision
                self.listener(self.now, member.host.host_id, decision)
            elif isinstance(decision, ForgetHost):
                member.view.pop(decision.host_id, None)

    def _tick(self, host_id: str) -> None:
        member = self.members[host_id]
        if member.running and not member.paused:
            self.carry_out(member, member.membership.tick(self.now))
        self._schedule(self.now + self._settings.tick, host_id, None)

    def _send(self, member: SimulatedMember, decision: SendDatagram) -> None:
        datagram = attrs.evolve(decision.datagram, clock=member.clock.read(1e9 + self.now))
        if self.measure is not None:
            member.sent_bytes += self.measure(datagram)
        receiver = self._by_address.get(decision.address)
        if receiver is None or self._rng.random() < self.loss:
            return
        if not self.is_cut(member.host, self.members[receiver].host):
            delay = self._latency * (0.5 + self._rng.random())
            self._schedule(self.now + delay, receiver, datagram)

    def _schedule(self, time: float, host_id: str, datagram: Datagram | None) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), host_id, datagram))
