"""Tests of the choice of the peer from which a host fetches changes."""

import math

from gypsumpost_core.gateway.directory_source import DirectorySource
from gypsumpost_core.gateway.directory_sources import DirectorySources
from gypsumpost_core.gateway.store_position import StorePosition


def create_source(name, domain="a", link_mbps=10, version=7):
    return DirectorySource(
        host_id=name,
        failure_domain=domain,
        link_mbps=link_mbps,
        version=version,
        endpoint_position=StorePosition(),
    )


def create_sources(*sources):
    table = DirectorySources(own_domain="a")
    for source in sources:
        table.put(source, 0.0, watching=False)
    return table


def list_asked(table, now):
    """Return the hosts in the order in which they are asked if none replies."""
    asked = []
    while (source := table.choose(now)) is not None:
        asked.append(source.host_id)
        table.record_failure(source.host_id, now)
    return asked


def test_peers_of_the_own_domain_with_fast_links_come_first():
    """Guards against a large configuration that all hosts fetch over one slow link."""
    table = create_sources(
        create_source("other-domain", "b", 1000),
        create_source("slow"),
        create_source("fast", link_mbps=200),
    )
    assert list_asked(table, 1.0) == ["fast", "slow", "other-domain"]


def test_a_peer_that_did_not_reply_is_asked_after_all_others():
    """Guards against a slow host that is asked again and again because its link is the fastest."""
    table = create_sources(create_source("fast", link_mbps=200))
    table.record_failure("fast", 1.0)
    for source in (create_source("fast", link_mbps=200), create_source("other", "b")):
        table.put(source, 1.1, watching=False)
    assert list_asked(table, 1.2) == ["other", "fast"]
    for source in (create_source("fast", link_mbps=200), create_source("other", "b")):
        table.put(source, 9.0, watching=False)
    assert list_asked(table, 9.2) == ["fast", "other"]


def test_a_host_that_watches_the_store_asks_peers_later():
    """Guards against fetching from peers what the store is about to deliver."""
    table = DirectorySources(own_domain="a")
    assert table.compute_due() == math.inf
    table.put(create_source("peer"), 4.0, watching=True)
    table.put(create_source("peer", version=8), 4.1, watching=True)
    assert table.compute_due() == 4.2
    table.drop_reached(7, StorePosition())
    assert table.compute_due() == 4.2
    table.drop_reached(8, StorePosition())
    assert table.compute_due() == math.inf and table.choose(5.0) is None
