"""Memory that membership takes for each known member."""

import random
import tracemalloc

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership import Membership
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.membership_simulation import create_hosts
from gypsumpost_daemon.peers.gossip_codec import GossipCodec

DOMAINS = 10


def measure_member_bytes(members: int) -> float:
    """Return the bytes per known member, with those of the decoded texts.

    :param members: number of members to learn.
    """
    codec = GossipCodec(key=b"key of the experiment")
    own, *others = create_hosts(DOMAINS, members // DOMAINS)
    datagrams = [codec.encode(_create_datagram(update), 1) for update in map(_describe, others)]
    membership = Membership(
        own=own, boot_time=1.0, settings=MembershipSettings(), rng=random.Random(0)
    )
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for data in datagrams:
            membership.handle_datagram(codec.decode(data).unwrap(), 0.0)
        membership.tick(0.01)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / len(others)


def _describe(host: Host) -> MemberUpdate:
    return MemberUpdate(host=host, incarnation=10**12, state=MemberState.ALIVE)


def _create_datagram(update: MemberUpdate) -> Datagram:
    return Datagram(kind=DatagramKind.GOSSIP, sender=update)
