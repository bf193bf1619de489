"""Tests of the directory of hosts."""

from gypsumpost_core.crashes.crash_key import CauseKind, CrashKey
from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_daemon.peers.host_directory import HostDirectory


def create_host(host_id: str) -> Host:
    return Host(host_id=host_id, failure_domain="d1", peer_address="127.0.0.1:1")


def test_forgotten_host_is_reported_as_lost_once() -> None:
    """Guards against listeners that are not notified when a host is removed."""
    directory = HostDirectory(own=create_host("own"))
    changes: list[tuple[str, bool]] = []
    directory.add_listener(lambda host, live: changes.append((host.host_id, live)))
    directory.update(create_host("h1"), True, state=MemberState.SUSPECT, incarnation=4)
    assert directory.get_state("h1") is MemberState.SUSPECT
    assert directory.get_incarnation("h1") == 4
    directory.forget("h1")
    directory.forget("h1")
    directory.forget("own")
    assert changes == [("h1", True), ("h1", False)]
    assert directory.get("h1") is None
    assert directory.get_state("h1") is None
    assert [host.host_id for host in directory.list_known()] == ["own"]


def test_one_host_decides_about_a_cause_and_none_that_is_cut_off() -> None:
    """Guards against several hosts that each send a crash-causing request once more (BUDGET)."""
    hosts = [create_host(f"h{number}") for number in range(5)]
    keys = [CrashKey(kind=CauseKind.PART, digest=b"%d" % number) for number in range(20)]
    directories = [HostDirectory(own=host) for host in hosts]
    for directory in directories:
        for host in hosts:
            directory.update(host, live=True)
    for key in keys:
        assert sum(directory.is_responsible(key) for directory in directories) == 1
    for directory in directories:
        cut_off = {hosts[0].host_id, hosts[1].host_id}
        inside = directory.own.host_id in cut_off
        for host in hosts:
            directory.update(host, live=(host.host_id in cut_off) == inside)
    for key in keys:
        assert sum(directory.is_responsible(key) for directory in directories) == 1
        assert not any(directory.is_responsible(key) for directory in directories[:2])
