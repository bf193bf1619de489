"""Tests of the roles of the hosts of a domain."""

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
        if roles.is_watcher(1.0):
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
    assert not roles.is_watcher(1.0)
    roles.put_report(create_report(WATCHING[0], store_lost=True), 1.1)
    assert roles.is_watcher(1.1) and not roles.is_store_lost(1.1)
    for name in WATCHING:
        roles.put_report(create_report(name, store_lost=True), 1.2)
    assert roles.is_store_lost(1.2)
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 1.3)
    assert not roles.is_watcher(1.3)


def test_a_silent_watcher_is_replaced():
    """Guards against relying on a watcher that hangs."""
    roles = create_roles()
    for name in WATCHING:
        roles.put_report(create_report(name, watching=True), 1.0)
    for name in WATCHING[1:]:
        roles.put_report(create_report(name, watching=True), 2.0)
    assert roles.is_watcher(1.1 + REPORT_EXPIRY_SECONDS)


def test_hosts_of_other_domains_do_not_count():
    """Guards against a domain without a watcher of its own."""
    roles = create_roles()
    for name in WATCHING:
        report = create_report(name, watching=True)
        roles.put_report(attrs.evolve(report, failure_domain="e"), 1.0)
    assert roles.is_watcher(1.0) and roles.get_relay_index(1.0) == 0


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
