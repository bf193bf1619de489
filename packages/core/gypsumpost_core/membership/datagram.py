"""A membership datagram."""

import attrs

from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.member_update import MemberUpdate

MAX_DATAGRAM_BYTES = 1200
"""Fits the smallest usual path MTU, so that no datagram is fragmented."""


@attrs.frozen(kw_only=True)
class Datagram:
    """One datagram between two daemons.

    :param kind: what it asks for.
    :param sender: the sender's statement about itself.
    :param sequence: number of a probe, which its answer repeats.
    :param target_id: host that a ping is meant for, or that a ping request asks about.
    :param cursor: host id after which a sync continues; empty at the start and the end.
    :param updates: recent changes.
    :param page: part of the sender's table, whether it changed or not.
    :param table_digest: digest of the sender's table of live hosts; between domains, of those of
        the sender's domain.
    :param beats: evidence about other failure domains.
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
