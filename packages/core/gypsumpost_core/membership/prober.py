"""Direct and indirect probes of the hosts in this domain."""

import random

from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.indirect_probe import IndirectProbe
from gypsumpost_core.membership.local_health import LocalHealth
from gypsumpost_core.membership.member import Member, list_refutable_updates
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.membership_outbox import MembershipOutbox
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.probe import Probe

INDIRECT_PROBE_SECONDS = 1.0


class Prober:
    """Probes one host after another in shuffled rounds and declares unresponsive ones dead.

    A host is declared dead only by a process whose own probe failed; a suspicion received by gossip
    starts a probe when it expires. A lost refutation therefore does not cause a live host to be
    declared dead.

    :param outbox: sends datagrams and holds the table.
    :param settings: intervals and limits.
    :param health: health of this process.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        outbox: MembershipOutbox,
        settings: MembershipSettings,
        health: LocalHealth,
        rng: random.Random,
    ) -> None:
        self._outbox = outbox
        self._table = outbox.table
        self._settings = settings
        self._health = health
        self._rng = rng
        self._probes: dict[str, Probe] = {}
        self._indirect_probes: dict[int, IndirectProbe] = {}
        self._order: list[str] = []
        self._sequence = 0
        self._next_probe = 0.0

    def tick(self, now: float) -> None:
        """Advance all probes and start the next one.

        :param now: monotonic time in seconds.
        """
        for probe in list(self._probes.values()):
            self._advance(probe, now)
        self._expire_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + self._settings.probe_interval
            self._start_next(now)
            self._indirect_probes = {
                n: r for n, r in self._indirect_probes.items() if r.deadline > now
            }

    def extend_deadlines(self, seconds: float) -> None:
        """Cancel probes and extend deadlines after a pause of this process.

        :param seconds: length of the pause.
        """
        self._probes.clear()
        for host_id in self._table.suspects:
            member = self._table.get(host_id)
            if member is not None:
                member.suspect_deadline += seconds

    def compute_suspect_deadline(self, now: float, own_evidence: bool) -> float:
        """Return the time at which a suspicion that starts now expires.

        :param now: monotonic time in seconds.
        :param own_evidence: false for a suspicion received by gossip. It expires later, so that the
            host that raised it decides first.
        """
        seconds = self._settings.suspicion * self._health.factor
        return now + (seconds if own_evidence else 1.5 * seconds)

    def handle_ack(self, datagram: Datagram, now: float) -> None:
        """Handle the answer to a ping of this process.

        :param datagram: the answer, from the host itself or from a helper.
        :param now: monotonic time in seconds.
        """
        indirect = self._indirect_probes.pop(datagram.sequence, None)
        if indirect is not None:
            self._forward_ack(indirect, datagram.sender.host.host_id)
            return
        host_id = datagram.target_id or datagram.sender.host.host_id
        probe = self._probes.get(host_id)
        if probe is None or probe.sequence != datagram.sequence:
            return
        member = self._table.get(host_id)
        if member is not None and member.state is MemberState.SUSPECT:
            # It answered a ping sent before the suspicion. The next pings carry the suspicion, so
            # that it can refute it.
            member.suspect_deadline = self.compute_suspect_deadline(now, own_evidence=True)
            return
        del self._probes[host_id]
        if probe.rounds == 1:
            self._health.record_success()
        elif probe.rounds > 2:
            # At 20% datagram loss every third probe needs a second ping. Counting those slowed a
            # healthy process so much that it took more than 3 s to declare a host dead.
            self._health.record_trouble()

    def handle_ping_request(self, datagram: Datagram, now: float) -> None:
        """Ping a host on behalf of another one.

        :param datagram: the request.
        :param now: monotonic time in seconds.
        """
        requester = datagram.sender.host
        self._outbox.send(
            DatagramKind.PING_REQUEST_TAKEN,
            requester,
            sequence=datagram.sequence,
            target_id=datagram.target_id,
        )
        member = self._table.get(datagram.target_id)
        if member is None:
            return
        self._sequence += 1
        self._indirect_probes[self._sequence] = IndirectProbe(
            requester=requester, sequence=datagram.sequence, deadline=now + INDIRECT_PROBE_SECONDS
        )
        self._ping(member, self._sequence)

    def handle_ping_request_taken(self, datagram: Datagram) -> None:
        """Record that a helper is reachable, which shows that this process's own network works.

        :param datagram: the helper's answer.
        """
        probe = self._probes.get(datagram.target_id)
        if probe is not None and probe.sequence == datagram.sequence:
            probe.helper_acknowledged = True

    def _start_next(self, now: float) -> None:
        while True:
            if not self._order:
                self._order = [host.host_id for host in self._table.list_peers()]
                self._rng.shuffle(self._order)
            if not self._order:
                return
            member = self._table.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                self._start(member, now)
                return

    def _start(self, member: Member, now: float) -> None:
        if member.host.host_id in self._probes:
            return
        self._sequence += 1
        probe = Probe(
            host_id=member.host.host_id,
            incarnation=member.incarnation,
            sequence=self._sequence,
            next_ping=now,
        )
        self._probes[probe.host_id] = probe
        self._advance(probe, now)

    def _advance(self, probe: Probe, now: float) -> None:
        if now < probe.next_ping:
            return
        member = self._table.get(probe.host_id)
        if (
            member is None
            or member.state is MemberState.DEAD
            or member.incarnation != probe.incarnation
        ):
            del self._probes[probe.host_id]
            return
        if probe.rounds >= self._settings.probe_rounds and member.state is MemberState.ALIVE:
            self._suspect(probe, member, now)
        self._ping(member, probe.sequence)
        if probe.rounds >= 1 and probe.rounds % 2 == 1:
            self._request_indirect_probes(probe, member)
        probe.rounds += 1
        probe.next_ping = now + self._settings.probe_timeout * self._health.factor

    def _suspect(self, probe: Probe, member: Member, now: float) -> None:
        if probe.asked_helpers and not probe.helper_acknowledged:
            self._health.record_trouble(2)
        deadline = self.compute_suspect_deadline(now, own_evidence=True)
        self._table.suspect(member, now=now, deadline=deadline)

    def _ping(self, member: Member, sequence: int) -> None:
        self._outbox.send(
            DatagramKind.PING,
            member.host,
            sequence=sequence,
            target_id=member.host.host_id,
            required=list_refutable_updates(member),
        )

    def _request_indirect_probes(self, probe: Probe, member: Member) -> None:
        helpers = [h for h in self._table.list_peers() if h.host_id not in self._probes]
        for helper in self._rng.sample(helpers, min(self._settings.helpers, len(helpers))):
            probe.asked_helpers = True
            self._outbox.send(
                DatagramKind.PING_REQUEST,
                helper,
                sequence=probe.sequence,
                target_id=probe.host_id,
                required=list_refutable_updates(member),
            )

    def _expire_suspects(self, now: float) -> None:
        for host_id in sorted(self._table.suspects):
            member = self._table.get(host_id)
            if member is None or member.suspect_deadline > now:
                continue
            probe = self._probes.get(host_id)
            if probe is not None and probe.rounds >= self._settings.probe_rounds:
                del self._probes[host_id]
                self._table.declare_dead(member, now=now)
            elif probe is None:
                self._start(member, now)

    def _forward_ack(self, indirect: IndirectProbe, target_id: str) -> None:
        member = self._table.get(target_id)
        required = () if member is None else (member.create_update(),)
        self._outbox.send(
            DatagramKind.ACK,
            indirect.requester,
            sequence=indirect.sequence,
            target_id=target_id,
            required=required,
        )
