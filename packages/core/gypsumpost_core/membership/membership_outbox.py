"""Builds outgoing datagrams and collects decisions."""

import math
from collections.abc import Iterable

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import MAX_DATAGRAM_BYTES, Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.member_table import MemberTable
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_decision import MembershipDecision
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.send_datagram import SendDatagram

HEADER_BYTES = 120
"""Upper bound of the authentication code and of all fields of a datagram that are not texts."""

BEAT_OVERHEAD_BYTES = 28
MAX_BEATS = 4

RETRANSMITS_PER_DECADE = 6
"""Transmissions of an update for each factor of 10 in the number of hosts of the domain.

With 4, one of 250 observers missed a death for 6 s at 20% datagram loss.
"""

RETRANSMITS_PER_DOMAIN = 3


class MembershipOutbox:
    """Fills datagrams with updates and beats up to the maximum size.

    :param own: this host.
    :param incarnation: boot time of this process in Unix milliseconds.
    :param settings: intervals and limits.
    """

    def __init__(self, *, own: Host, incarnation: int, settings: MembershipSettings) -> None:
        self.decisions: list[MembershipDecision] = []
        self.list_revision = 0
        self.beats: dict[str, int] = {}
        self.table = MemberTable(
            own=own, incarnation=incarnation, settings=settings, emit=self.add_decision
        )
        self._beat_offset = 0

    def add_decision(self, decision: MembershipDecision) -> None:
        """Add a decision that results from the current event.

        :param decision: the decision.
        """
        self.decisions.append(decision)

    def drain_decisions(self) -> list[MembershipDecision]:
        """Return and clear the decisions since the last call."""
        # Replacing the list is safe: the table adds decisions through this object.
        drained, self.decisions = self.decisions, []
        return drained

    def send(
        self,
        kind: DatagramKind,
        receiver: Host,
        *,
        sequence: int = 0,
        target_id: str = "",
        cursor: str = "",
        required: tuple[MemberUpdate, ...] = (),
        page: tuple[MemberUpdate, ...] = (),
    ) -> None:
        """Decide to send a datagram.

        :param kind: kind of the datagram.
        :param receiver: the receiving host.
        :param sequence: sequence number of the probe.
        :param target_id: see :class:`~gypsumpost_core.membership.datagram.Datagram`.
        :param cursor: see :class:`~gypsumpost_core.membership.datagram.Datagram`.
        :param required: updates that must be included.
        :param page: table entries that must be included.
        """
        sender = self.table.own.create_update()
        beats = self._choose_beats(receiver)
        space = self.compute_space() - len(target_id) * 9 // 8 - len(cursor) * 9 // 8
        space -= sum(update.estimate_bytes() for update in required + page)
        updates = required + tuple(self._choose_updates(receiver, space))
        datagram = Datagram(
            kind=kind,
            sender=sender,
            sequence=sequence,
            target_id=target_id,
            cursor=cursor,
            updates=updates,
            page=page,
            table_digest=self._compute_digest(receiver),
            beats=beats,
            list_revision=self.list_revision,
        )
        self.add_decision(SendDatagram(address=receiver.gossip_address, datagram=datagram))

    def compute_space(self) -> int:
        """Return the number of bytes in a datagram that are left for updates and table entries."""
        space = MAX_DATAGRAM_BYTES - HEADER_BYTES - self.table.own.create_update().estimate_bytes()
        domains = sorted(self.beats, key=len, reverse=True)[:MAX_BEATS]
        return space - sum(len(name) * 9 // 8 + BEAT_OVERHEAD_BYTES for name in domains)

    def fill_page(self, members: Iterable[MemberUpdate]) -> tuple[MemberUpdate, ...]:
        """Return the leading entries that fit into one datagram.

        :param members: entries in order.
        """
        # 80 bytes for a cursor and 350 for an update about the receiver, which it may refute.
        space = self.compute_space() - 80 - 350
        page = []
        for update in members:
            space -= update.estimate_bytes()
            if space < 0:
                break
            page.append(update)
        return tuple(page)

    def _compute_digest(self, receiver: Host) -> int:
        own_domain = self.table.own.host.failure_domain
        if receiver.failure_domain == own_domain:
            return self.table.compute_digest()
        return self.table.compute_digest(own_domain)

    def _choose_updates(self, receiver: Host, space: int) -> list[MemberUpdate]:
        if receiver.failure_domain == self.table.own.host.failure_domain:
            members = len(self.table.list_peers()) + 1
            limit = math.ceil(RETRANSMITS_PER_DECADE * math.log10(members + 1))
            return self.table.recent_updates.select(space, limit)
        return self.table.cross_domain_updates.select(
            space, RETRANSMITS_PER_DOMAIN * len(self.beats)
        )

    def _choose_beats(self, receiver: Host) -> tuple[DomainBeat, ...]:
        if receiver.failure_domain != self.table.own.host.failure_domain:
            return ()  # Each domain needs its own evidence that the others are reachable.
        names = list(self.beats)
        if len(names) > MAX_BEATS:
            self._beat_offset = (self._beat_offset + MAX_BEATS) % len(names)
            names = (names[self._beat_offset :] + names)[:MAX_BEATS]
        return tuple(DomainBeat(failure_domain=name, clock=self.beats[name]) for name in names)
