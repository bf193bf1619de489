"""Tests of the selection of hosts that hold copies."""

from gypsumpost_core.generations.copy_placement import COPY_PLACEMENTS, HOLDER_GROUPS
from gypsumpost_core.host import Host


def create_hosts(count: int) -> list[Host]:
    return [
        Host(host_id=f"h{n}", failure_domain=f"d{n % 3}", peer_address="127.0.0.1:1")
        for n in range(count)
    ]


def list_holders(own: Host, peers: list[Host]) -> set[Host]:
    chosen = (
        COPY_PLACEMENTS.create("other-domain", generation_id=f"g{n}", own=own, peers=peers)
        for n in range(200)
    )
    return {host for holders in chosen for host in holders}


def test_copies_of_a_home_share_few_holders_in_other_domains():
    """Guards against batches of a single token when many hosts could hold copies."""
    own, *peers = create_hosts(60)
    holders = list_holders(own, peers)
    assert 1 < len(holders) <= HOLDER_GROUPS
    assert own.failure_domain not in {host.failure_domain for host in holders}


def test_homes_spread_their_copies_over_the_fleet():
    """Guards against a few hosts holding the copies of all others."""
    hosts = create_hosts(60)
    counts = dict.fromkeys(hosts, 0)
    for own in hosts:
        for holder in list_holders(own, [host for host in hosts if host != own]):
            counts[holder] += 1
    assert max(counts.values()) <= 4 * HOLDER_GROUPS
    assert sum(count > 0 for count in counts.values()) > len(hosts) * 0.9


def test_lost_holder_is_replaced_and_others_stay():
    """Guards against moving all copies when one host is lost."""
    own, *peers = create_hosts(60)
    before = list_holders(own, peers)
    lost = next(iter(sorted(before, key=lambda host: host.host_id)))
    after = list_holders(own, [peer for peer in peers if peer != lost])
    assert before - after == {lost}
