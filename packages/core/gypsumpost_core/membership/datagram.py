"""A membership datagram."""

import attrs

from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.member_update import MemberUpdate

MAX_DATAGRAM_BYTES = 1200
"""Fits the smallest common path MTU, so that no datagram is fragmented."""


@attrs.frozen(kw_only=True)
class Datagram:
    """One datagram between two daemons.

    :param kind: type of the message.
    :param sender: the sender's own entry.
    :param sequence: sequence number of a probe, echoed in its answer.
    :param target_id: host that a ping or ping request probes, or that an answer is about.
    :param cursor: host id after which a table sync continues; empty at its start and end.
    :param updates: recent updates about members.
    :param page: page of the sender's table, including unchanged entries.
    :param table_digest: digest of the live hosts in the sender's table; between domains, only of
        those of the sender's domain.
    :param beats: evidence that other failure domains are reachable.
    :param list_revision: revision of the operators' lists that the sender uses.
    :param clock: the sender's hybrid clock, set when the datagram is encoded.
    """

    kind: DatagramKind
    sender: MemberUpdate
    sequence: int = 0
    target_id: str = ""
    cursor: str = ""
    updates: tuple[MemberUpdate, ...] = ()
    page: tuple[MemberUpdate, ...] = ()
    table_digest: int = 0
    beats: tuple[DomainBeat, ...] = ()
    list_revision: int = 0
    clock: int = 0
