"""Tests of the directory of hosts."""

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
