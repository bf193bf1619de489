"""Tests of rendezvous hashing."""

from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts


def create_hosts(count: int) -> list[Host]:
    return [
        Host(host_id=f"h{i}", failure_domain=f"d{i % 3}", peer_address=f"127.0.0.1:{9000 + i}")
        for i in range(count)
    ]


def test_loss_of_a_host_moves_only_its_own_keys() -> None:
    """Guards against a hash that reassigns every key when one host dies."""
    hosts = create_hosts(9)
    lost = hosts[4]
    rest = [host for host in hosts if host != lost]
    for number in range(500):
        before = rank_hosts(f"key-{number}", hosts)[0]
        after = rank_hosts(f"key-{number}", rest)[0]
        assert before in (lost, after)


def test_order_does_not_depend_on_the_order_of_the_candidates() -> None:
    """Guards against daemons with the same view that choose different hosts."""
    hosts = create_hosts(5)
    assert rank_hosts("key", hosts) == rank_hosts("key", reversed(hosts))
