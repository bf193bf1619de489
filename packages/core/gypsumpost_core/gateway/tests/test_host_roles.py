"""Tests of the roles of the hosts of a domain."""

import random

import attrs

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.host_roles import RELAYS, REPORT_EXPIRY_SECONDS, WATCHERS, HostRoles
from gypsumpost_core.host import Host

WATCHING = tuple(f"h-{n + 1}" for n in range(WATCHERS))


def create_host(name, domain="d"):
    return Host(host_id=name, failure_domain=domain, peer_address="127.0.0.1:1")


def create_report(name, link_mbps=10, **fields):
    return HostReport(host_id=name, failure_domain="d", link_mbps=link_mbps, **fields)


def create_roles(name="h-0", link_mbps=10):
    return HostRoles(own=create_host(name), link_mbps=link_mbps)


def test_hosts_with_the_fastest_links_get_the_roles():
    """Guards against roles on hosts whose links the traffic would saturate."""
    links = {"h-1": 100, "h-2": 10, "h-3": 10, "h-4": 25}
    watchers, relays = [], []
    for name, link in links.items():
        roles = create_roles(name, link)
        for other, other_link in links.items():
            if other != name:
                roles.put_report(create_report(other, other_link, watching=True), 1.0)
        if roles.is_watcher(1.0, answered=False):
            watchers.append(name)
        if roles.get_relay_index(1.0) is not None:
            relays.append(name)
    assert watchers == ["h-1", "h-3", "h-4"] and len(watchers) == WATCHERS
    assert relays == ["h-1", "h-4"] and len(relays) == RELAYS


def test_another_host_watches_when_the_watchers_fail():
    """Guards against a domain that receives no changes because the store refuses its watchers."""
    roles = create_roles()
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 1.0)
    assert not roles.is_watcher(1.0, answered=False)
    roles.put_report(create_report(WATCHING[0], store_lost=True), 1.1)
    assert roles.is_watcher(1.1, answered=False) and not roles.is_store_lost(1.1)
    for name in WATCHING:
        roles.put_report(create_report(name, store_lost=True), 1.2)
    assert roles.is_store_lost(1.2)
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 1.3)
    assert not roles.is_watcher(1.3, answered=False)


def test_a_silent_watcher_is_replaced():
    """Guards against relying on a watcher that hangs."""
    roles = create_roles()
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 1.0)
    for name in WATCHING[1:]:
        roles.put_report(create_report(name, watching=True), 2.0)
    assert roles.is_watcher(1.1 + REPORT_EXPIRY_SECONDS, answered=False)


def test_hosts_of_other_domains_do_not_count():
    """Guards against a domain without a watcher of its own."""
    roles = create_roles()
    for name in WATCHING:
        report = create_report(name, watching=True)
        roles.put_report(attrs.evolve(report, failure_domain="e"), 1.0)
    assert roles.is_watcher(1.0, answered=False) and roles.get_relay_index(1.0) == 0


def test_the_relays_of_a_domain_use_different_receivers():
    """Guards against one failed host that cuts a domain off from the reports of another."""
    roles = create_roles()
    hosts = [create_host(f"h-{n}", "e") for n in range(4)]
    receivers = [roles.choose_relay(hosts, number, 1.0) for number in range(RELAYS)]
    assert len({host.host_id for host in receivers if host is not None}) == RELAYS
    assert roles.choose_relay(hosts[:1], 1, 1.0) == hosts[0]
    assert roles.choose_relay([], 0, 1.0) is None
    roles.put_report(HostReport(host_id="h-3", failure_domain="e", link_mbps=100), 1.0)
    assert roles.choose_relay(hosts, 0, 1.0) == hosts[3]


def test_a_store_that_is_away_is_asked_in_turns():
    """Guards against a store that hundreds of hosts call several times a second while it is away.

    Replays an outage of 8 s for a domain of 40 hosts, of which each checks its role every 0.25 s.
    """
    names = [f"h-{number:02}" for number in range(40)]
    asking = dict.fromkeys(names, 0)
    for number, name in enumerate(names):
        roles = create_roles(name)
        roles.rng = random.Random(number)
        for step in range(32):
            now = 1.0 + step * 0.25
            for other in names:
                if other != name:
                    roles.put_report(create_report(other, store_lost=True), now)
            asking[name] += roles.is_watcher(now, answered=False)
    first = sorted(names)[-WATCHERS:]
    assert all(asking[name] == 32 for name in first)
    others = [count for name, count in asking.items() if name not in first]
    # Two turns a second of four checks each.
    assert sum(others) < 2 * 2.0 * 8 * 4
    assert sum(count > 0 for count in others) > 8


def test_a_host_that_the_store_answers_goes_on_watching():
    """Guards against a domain without changes while the store turns its first hosts away."""
    roles = create_roles()
    for name in WATCHING:
        roles.put_report(create_report(name, store_lost=True), 1.0)
    assert roles.is_watcher(1.0, answered=True)
    assert roles.is_watcher(2.5, answered=True)
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 2.6)
    assert not roles.is_watcher(2.6, answered=True)
