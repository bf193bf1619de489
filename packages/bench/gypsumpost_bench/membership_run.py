"""One measured run of a simulated deployment with membership."""

import math
import random
import time

from gypsumpost_bench.membership_figures import MembershipFigures
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_simulation import MembershipSimulation, create_hosts
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_daemon.peers.gossip_codec import GossipCodec

DOMAINS = 3
LOSS = 0.2
JOIN_SECONDS = 20.0
STEADY_SECONDS = 10.0
DETECTION_SECONDS = 6.0
REJOIN_SECONDS = 6.0
LOSSY_SECONDS = 60.0
UDP_HEADER_BYTES = 28
"""Bytes of the UDP and IPv4 headers."""


class MembershipRun:
    """Measures membership with one number of members.

    :param members: number of members.
    :param losses: number of members that are stopped and started again one after another, once
        without and once with loss of datagrams.
    :param seed: seed of all randomness.
    """

    def __init__(self, *, members: int, losses: int, seed: int) -> None:
        self._members = members
        self._losses = losses
        self._codec = GossipCodec(key=b"key of the experiment")
        hosts = create_hosts(DOMAINS, math.ceil(members / DOMAINS))[:members]
        self._simulation = MembershipSimulation(hosts=hosts, seed=seed)
        self._rng = random.Random(seed)

    def measure(self) -> MembershipFigures:
        """Run all phases and return the figures."""
        self._simulation.run(JOIN_SECONDS)
        total, highest, microseconds = self._measure_cost()
        detection, missed = self._measure_detection()
        self._simulation.loss = LOSS
        suspicions, deaths = self._count_false_reports()
        lossy_detection, lossy_missed = self._measure_detection()
        return MembershipFigures(
            members=self._members,
            detection=tuple(detection),
            missed=missed,
            lossy_detection=tuple(lossy_detection),
            lossy_missed=lossy_missed,
            false_suspicions=suspicions,
            false_deaths=deaths,
            bytes_per_second=total / self._members / STEADY_SECONDS,
            highest_bytes_per_second=highest / STEADY_SECONDS,
            heartbeat_bytes_per_second=self._compute_heartbeat_bytes(),
            processor_microseconds=microseconds / self._members / STEADY_SECONDS,
        )

    def _measure_cost(self) -> tuple[int, int, float]:
        members = self._simulation.members.values()
        self._simulation.measure = self._encode_and_decode
        started = time.process_time()
        self._simulation.run(STEADY_SECONDS)
        microseconds = (time.process_time() - started) * 1e6
        self._simulation.measure = None
        sent = [member.sent_bytes for member in members]
        return sum(sent), max(sent), microseconds

    def _encode_and_decode(self, datagram: Datagram) -> int:
        data = self._codec.encode(datagram, datagram.clock)
        self._codec.decode(data).unwrap()
        return len(data) + UDP_HEADER_BYTES

    def _measure_detection(self) -> tuple[list[float], int]:
        seconds: list[float] = []
        missed = 0
        members = list(self._simulation.members.values())
        for victim in self._rng.sample(members, self._losses):
            victim.running = False
            detected = self._observe_failure(victim.host.host_id)
            seconds += detected.values()
            observers = sum(m.running for m in self._simulation.members.values())
            missed += observers - len(detected)
            self._simulation.start(victim.host)
            self._simulation.run(REJOIN_SECONDS)
        return seconds, missed

    def _observe_failure(self, victim: str) -> dict[str, float]:
        started = self._simulation.now
        detected: dict[str, float] = {}

        def record_report(now: float, observer: str, report: ReportHost) -> None:
            if report.host.host_id == victim and not report.live:
                detected.setdefault(observer, now - started)

        self._simulation.listener = record_report
        self._simulation.run(DETECTION_SECONDS)
        return detected

    def _count_false_reports(self) -> tuple[int, int]:
        suspicions: set[tuple[str, int]] = set()
        deaths: list[ReportHost] = []

        def record_report(now: float, observer: str, report: ReportHost) -> None:
            if not self._simulation.members[report.host.host_id].running:
                return
            if report.state is MemberState.SUSPECT:
                suspicions.add((report.host.host_id, report.incarnation))
            elif not report.live:
                deaths.append(report)

        self._simulation.listener = record_report
        self._simulation.run(LOSSY_SECONDS)
        return len(suspicions), len(deaths)

    def _compute_heartbeat_bytes(self) -> float:
        host = next(iter(self._simulation.members.values())).host
        sender = MemberUpdate(host=host, incarnation=10**12, state=MemberState.ALIVE)
        heartbeat = Datagram(kind=DatagramKind.GOSSIP, sender=sender)
        size = len(self._codec.encode(heartbeat, 1 << 56)) + UDP_HEADER_BYTES
        return float(size * (self._members - 1))
