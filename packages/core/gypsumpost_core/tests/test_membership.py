"""Tests of membership between several state machines on a simulated clock."""

import attrs
import pytest

from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.report_list_revision import ReportListRevision
from gypsumpost_core.tests.membership_helpers import (
    JOIN_SECONDS,
    check_all_live,
    create_joined,
    gossip,
    list_live_observers,
)


@pytest.mark.parametrize("victim", [f"host-{d}-{n}" for d in range(3) for n in range(3)])
def test_lost_host_is_detected_in_every_domain_within_three_seconds(victim: str) -> None:
    """Guards against a dead host that stays live on hosts that hold copies of its generations."""
    simulation = create_joined()
    simulation.members[victim].running = False
    simulation.run(3.0)
    assert list_live_observers(simulation, victim) == []
    check_all_live(simulation)


def test_large_domains_join_and_detect_a_loss() -> None:
    """Guards against tables that stay incomplete when many hosts start at the same time."""
    simulation = create_joined(domains=3, hosts_per_domain=30, seconds=15.0)
    simulation.members["host-1-7"].running = False
    simulation.run(3.0)
    assert list_live_observers(simulation, "host-1-7") == []


def test_paused_member_returns_without_declaring_others_dead() -> None:
    """Guards against a process that declares all others dead after its own pause."""
    simulation = create_joined()
    member = simulation.members["host-0-0"]
    member.paused = True
    simulation.run(10.0)
    assert list_live_observers(simulation, "host-0-0") == []
    reports = []
    simulation.listener = lambda now, observer, report: reports.append((observer, report.state))
    simulation.resume("host-0-0")
    simulation.run(5.0)
    check_all_live(simulation)
    assert ("host-0-0", MemberState.DEAD) not in reports


@pytest.mark.parametrize("seconds", [5.0, 60.0])
def test_partition_between_domains_heals(seconds: float) -> None:
    """Guards against domains that place copies across a partition or never reconnect."""
    simulation = create_joined()
    simulation.is_cut = lambda a, b: (a.failure_domain == "domain-0") != (
        b.failure_domain == "domain-0"
    )
    simulation.run(seconds)
    assert simulation.members["host-0-0"].list_live() == {"host-0-1", "host-0-2"}
    assert len(simulation.members["host-1-0"].list_live()) == 5
    simulation.is_cut = lambda a, b: False
    simulation.run(5.0)
    check_all_live(simulation)


def test_domain_that_a_third_one_reaches_is_unreachable() -> None:
    """Guards against copies in a domain that is reachable only from a third domain."""
    simulation = create_joined()
    pair = {"domain-0", "domain-1"}
    simulation.is_cut = lambda a, b: {a.failure_domain, b.failure_domain} == pair
    simulation.run(5.0)
    own = {"host-0-1", "host-0-2"}
    third = {"host-2-0", "host-2-1", "host-2-2"}
    assert simulation.members["host-0-0"].list_live() == own | third
    assert len(simulation.members["host-2-0"].list_live()) == 8


def test_partition_within_a_domain_heals() -> None:
    """Guards against halves of a domain that consider each other dead forever."""
    simulation = create_joined(domains=1, hosts_per_domain=8)
    left = {"host-0-0", "host-0-1", "host-0-2"}
    simulation.is_cut = lambda a, b: (a.host_id in left) != (b.host_id in left)
    simulation.run(20.0)
    assert simulation.members["host-0-0"].list_live() == left - {"host-0-0"}
    simulation.is_cut = lambda a, b: False
    simulation.run(10.0)
    check_all_live(simulation)


def test_restart_with_the_same_address_has_a_higher_incarnation() -> None:
    """Guards against a restarted daemon that is mistaken for its dead predecessor."""
    simulation = create_joined()
    host = simulation.members["host-2-1"].host
    before = simulation.members["host-0-0"].view["host-2-1"].incarnation
    simulation.members["host-2-1"].running = False
    simulation.run(5.0)
    simulation.start(host)
    simulation.run(5.0)
    check_all_live(simulation)
    assert simulation.members["host-0-0"].view["host-2-1"].incarnation > before


def test_restart_of_all_hosts() -> None:
    """Guards against members that cannot join until a peer has already joined."""
    simulation = create_joined()
    for member in list(simulation.members.values()):
        simulation.start(member.host)
    simulation.run(JOIN_SECONDS)
    check_all_live(simulation)


def test_leaving_member_is_known_at_once() -> None:
    """Guards against a planned stop that others detect only by failed probes."""
    simulation = create_joined()
    member = simulation.members["host-0-0"]
    simulation.carry_out(member, member.membership.leave(simulation.now))
    member.running = False
    simulation.run(0.7)
    assert list_live_observers(simulation, "host-0-0") == []


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_datagrams_kills_no_live_member(seed: int) -> None:
    """Guards against live hosts declared dead when a fifth of all datagrams is lost."""
    simulation = create_joined(domains=3, hosts_per_domain=5, seed=seed)
    simulation.loss = 0.2
    false_deaths = []
    simulation.listener = lambda now, observer, report: (
        None if report.live else false_deaths.append((now, observer, report))
    )
    simulation.run(60.0)
    assert false_deaths == []


def test_dead_member_is_not_revived_by_stale_gossip() -> None:
    """Guards against a late datagram that marks a dead host as alive."""
    simulation = create_joined()
    victim = simulation.members["host-0-2"]
    stale = victim.membership.incarnation
    victim.running = False
    simulation.run(4.0)
    statement = MemberUpdate(host=victim.host, incarnation=stale, state=MemberState.ALIVE)
    simulation.deliver("host-0-0", gossip(victim.host, incarnation=stale))
    simulation.deliver("host-0-1", gossip(simulation.members["host-1-0"].host, statement))
    simulation.run(2.0)
    assert list_live_observers(simulation, "host-0-2") == []


def test_dead_member_is_forgotten_at_its_deadline() -> None:
    """Guards against tables that keep re-adding dead hosts to each other."""
    simulation = create_joined(domains=2, hosts_per_domain=2)
    simulation.members["host-1-1"].running = False
    simulation.run(640.0)
    for member in simulation.members.values():
        assert not member.running or "host-1-1" not in member.view


def test_newer_list_revision_is_reported_once() -> None:
    """Guards against a daemon that is not notified that its lists are outdated."""
    simulation = create_joined(domains=1, hosts_per_domain=2)
    sender = simulation.members["host-0-0"].host
    membership = simulation.members["host-0-1"].membership
    datagram = attrs.evolve(gossip(sender), list_revision=7)
    expected = ReportListRevision(host_id="host-0-0", revision=7)
    assert expected in membership.handle_datagram(datagram, simulation.now)
    assert expected not in membership.handle_datagram(datagram, simulation.now)


def test_ping_for_the_former_owner_of_an_address_is_ignored() -> None:
    """Guards against a host that answers pings for the former owner of its address."""
    simulation = create_joined(domains=1, hosts_per_domain=2)
    sender = simulation.members["host-0-0"].host
    ping = attrs.evolve(gossip(sender), kind=DatagramKind.PING, target_id="host-before")
    assert simulation.members["host-0-1"].membership.handle_datagram(ping, simulation.now) == []


def test_late_process_slows_its_suspicions() -> None:
    """Guards against an overloaded process that suspects healthy hosts."""
    simulation = create_joined(domains=1, hosts_per_domain=3)
    membership = simulation.members["host-0-0"].membership
    assert membership.health_factor == 1.0
    membership.tick(simulation.now + 1.0)
    assert membership.health_factor > 1.0
