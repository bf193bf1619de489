"""Tests of the membership task and its codec."""

import random
import socket

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import MAX_DATAGRAM_BYTES, Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.membership_simulation import MembershipSimulation, create_hosts
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.peers.gossip_codec import GossipCodec, sign_datagram
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.settings import Settings


def create_host(host_id: str) -> Host:
    addresses = []
    for _ in range(2):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            addresses.append(f"127.0.0.1:{probe.getsockname()[1]}")
    return Host(
        host_id=host_id,
        failure_domain="d1",
        peer_address=addresses[0],
        gossip_address=addresses[1],
    )


def create_gossip(own: Host, seeds: list[Host], key: bytes) -> tuple[Gossip, HostDirectory]:
    directory = HostDirectory(own=own)
    gossip = Gossip(
        directory=directory,
        key=key,
        settings=MembershipSettings(),
        seeds=seeds,
        rng=random.Random(1),
    )
    return gossip, directory


async def test_daemons_find_each_other_and_a_wrong_key_is_ignored(nursery: trio.Nursery) -> None:
    """Guards against members that join without the shared key."""
    hosts = [create_host(name) for name in ("left", "right", "stranger")]
    keys = [b"k", b"k", b"other"]
    joined = trio.Event()
    directories = []
    revisions: list[tuple[str, int]] = []
    for host, key in zip(hosts, keys, strict=True):
        gossip, directory = create_gossip(host, hosts, key)
        directories.append(directory)
        if host.host_id == "left":
            gossip.add_revision_listener(
                lambda host_id, revision: revisions.append((host_id, revision))
            )
            directory.add_listener(lambda host, live: joined.set())
        else:
            gossip.set_list_revision(9)
        await nursery.start(gossip.run)
    await joined.wait()
    await trio.sleep(0.5)  # Time for the stranger's datagrams to arrive.
    left, right, stranger = directories
    assert [host.host_id for host in left.list_peers()] == ["right"]
    assert left.get_state("stranger") is MemberState.UNREACHABLE
    assert left.get_incarnation("right") > 0
    assert stranger.list_peers() == []
    assert [host.host_id for host in right.list_peers()] == ["left"]
    assert revisions == [("right", 9)]
    nursery.cancel_scope.cancel()


TEXTS = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9-]{0,62}", fullmatch=True)
ADDRESSES = st.sampled_from(
    ["127.0.0.1:1", "127.0.0.1:2", "10.0.0.1:0", "[fe80:1111:2222:3333:4444:5555:6666:7777]:65535"]
)
UPDATES = st.builds(
    MemberUpdate,
    host=st.builds(
        Host,
        host_id=TEXTS,
        failure_domain=TEXTS,
        peer_address=ADDRESSES,
        gossip_address=ADDRESSES,
        api_address=st.just("") | ADDRESSES,
    ),
    incarnation=st.integers(0, 2**64 - 1),
    state=st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD]),
)
DATAGRAMS = st.builds(
    Datagram,
    kind=st.sampled_from(DatagramKind),
    sender=UPDATES,
    sequence=st.integers(0, 2**64 - 1),
    target_id=TEXTS,
    cursor=TEXTS,
    updates=st.lists(UPDATES, max_size=3).map(tuple),
    page=st.lists(UPDATES, max_size=3).map(tuple),
    table_digest=st.integers(0, 2**64 - 1),
    beats=st.lists(
        st.builds(DomainBeat, failure_domain=TEXTS, clock=st.integers(0, 2**64 - 1)), max_size=4
    ).map(tuple),
    list_revision=st.integers(0, 2**64 - 1),
    clock=st.integers(0, 2**64 - 1),
)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(DATAGRAMS)
def test_datagrams_survive_the_codec(datagram: Datagram) -> None:
    """Guards against fields that are lost or mixed up in the encoding."""
    codec = GossipCodec(key=b"k")
    assert codec.decode(codec.encode(datagram, datagram.clock)) == Ok(datagram)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(UPDATES)
def test_size_of_an_update_is_not_underestimated(update: MemberUpdate) -> None:
    """Guards against datagrams over the largest size."""
    codec = GossipCodec(key=b"k")
    one = Datagram(kind=DatagramKind.GOSSIP, sender=update, updates=(update,))
    two = attrs.evolve(one, updates=(update, update))
    growth = len(codec.encode(two, 1)) - len(codec.encode(one, 1))
    assert growth <= update.estimate_bytes()


def test_no_datagram_of_a_deployment_is_over_the_largest_size() -> None:
    """Guards against fragmented datagrams while tables are synchronized and hosts die."""
    codec = GossipCodec(key=b"k")
    sizes: list[int] = []

    def measure(datagram: Datagram) -> int:
        sizes.append(len(codec.encode(datagram, datagram.clock)))
        return sizes[-1]

    simulation = MembershipSimulation(hosts=create_hosts(6, 6), seed=3, measure=measure)
    simulation.run(3.0)
    for number in range(5):
        simulation.members[f"host-{number}-0"].running = False
    simulation.run(3.0)
    assert max(sizes) <= MAX_DATAGRAM_BYTES
    assert max(sizes) > MAX_DATAGRAM_BYTES // 2  # The run must have produced filled datagrams.


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_malformed_datagrams_are_errors(body: bytes) -> None:
    """Guards against malformed bytes that stop the daemon, even from a peer with the key."""
    codec = GossipCodec(key=b"k")
    valid = codec.encode(Datagram(kind=DatagramKind.GOSSIP, sender=create_sender()), 1)
    assert codec.decode(valid) != Err("wrong authentication code")
    assert codec.decode(body) == Err("wrong authentication code")
    assert isinstance(codec.decode(sign_datagram(b"k", body) + body), Err)


def create_sender() -> MemberUpdate:
    host = create_hosts(1, 1)[0]
    return MemberUpdate(host=host, incarnation=1, state=MemberState.ALIVE)


def test_seeds_setting() -> None:
    """Guards against a seed that is accepted with a missing field."""
    field = attrs.fields(Settings).seeds
    parse = field.metadata["setting"].parse
    (seed,) = parse("h1@d1@127.0.0.1:1@127.0.0.1:2")
    assert (seed.host_id, seed.gossip_address) == ("h1", "127.0.0.1:2")
    with pytest.raises(ValueError):
        parse("h1@d1@127.0.0.1:1")
