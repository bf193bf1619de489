"""Tests of the choice of the peer from which a host fetches changes."""

from typing import Any

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory_exchange import DirectoryExchange
from gypsumpost_daemon.peers.peer_failure import PeerFailure


@attrs.define(kw_only=True)
class EmptyDirectory:
    """An empty directory that is behind every peer."""

    version: int = 0
    endpoint_revision: int = 0

    def list_revisions(self):
        return {}

    def record_named_version(self, version):
        pass


@attrs.define(kw_only=True)
class RecordingNetwork:
    """Records the peers to which requests are sent, and gives no reply."""

    requested_peers: list[str] = attrs.field(factory=list)

    def add_handler(self, kind, handler):
        pass

    async def request(self, host_id, kind, payload, deadline):
        self.requested_peers.append(host_id)
        return Err(PeerFailure(host_id=host_id, reason="test", sent=True))

    def drop_link(self, host_id):
        pass


def create_beacon(name, domain="a", link_mbps=10):
    return Beacon(
        host=HostReport(host_id=name, failure_domain=domain, link_mbps=link_mbps),
        ip="127.0.0.1",
        sequence=1,
        version=7,
        endpoint_revision=0,
        uses={},
        retries={},
    )


async def test_each_peer_that_is_ahead_is_asked_until_one_replies(nursery, autojump_clock):
    """Guards against a large configuration that all hosts fetch over one slow link.

    It also guards against a host that waits for the next beacon when the first peer does not reply.
    """
    network = RecordingNetwork()
    dependencies: dict[str, Any] = {"directory": EmptyDirectory(), "network": network}
    exchange = DirectoryExchange(
        own_domain="a", record_change=lambda prefix, peer: None, **dependencies
    )
    nursery.start_soon(exchange.run)
    beacons = [
        create_beacon("other-domain", "b", 1000),
        create_beacon("slow"),
        create_beacon("fast", link_mbps=200),
        create_beacon("slow-too", link_mbps=25),
    ]
    for beacon in beacons:
        exchange.handle_beacon(beacon, watching=False)
    await trio.sleep(1.0)
    assert network.requested_peers == ["fast", "slow-too", "slow", "other-domain"]
