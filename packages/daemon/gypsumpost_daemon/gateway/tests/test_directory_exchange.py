"""Tests of the choice of the peer from which a host fetches changes."""

from typing import Any

import attrs
import trio
from result import Err, Ok

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.late_changes import ASK_SECONDS, SPREAD_SECONDS
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.directory_codec import encode_state
from gypsumpost_daemon.gateway.directory_exchange import DirectoryExchange
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.gateway.version_freshness import VersionFreshness
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.telemetry.metrics import Metrics


@attrs.define(kw_only=True)
class EmptyDirectory:
    """An empty directory that is behind every peer."""

    version: int = 0
    endpoint_position: StorePosition = StorePosition()

    applied: list[str] = attrs.field(factory=list)
    freshness: VersionFreshness = attrs.field(factory=VersionFreshness)

    @property
    def tables(self):
        return self

    def list_positions(self):
        return {"servers/": StorePosition(revision=9)}

    def resolve_era(self, era):
        return era

    def apply_set(self, entry, source):
        self.applied.append(source)
        if not entry.partial:
            self.endpoint_position = StorePosition(revision=entry.revision)
        return True

    def list_first_revisions(self):
        return {}

    def list_behind(self, version, endpoint_position):
        return ["servers/"]

    def lacks_kept(self, entry):
        return False

    def forget_revision(self, prefix):
        pass


@attrs.define(kw_only=True)
class RecordingNetwork:
    """Records the peers to which requests are sent, and gives no reply."""

    requested_peers: list[str] = attrs.field(factory=list)
    replies: dict[str, list[bytes]] = attrs.field(factory=dict)

    def add_handler(self, kind, handler):
        pass

    async def request(self, host_id, kind, payload, deadline):
        self.requested_peers.append(host_id)
        if self.replies.get(host_id):
            return Ok(self.replies[host_id].pop(0))
        return Err(PeerFailure(host_id=host_id, reason="test", sent=True))

    def drop_link(self, host_id):
        pass


def create_beacon(name, domain="a", link_mbps=10, version=7, endpoint_revision=0):
    return Beacon(
        host=HostReport(host_id=name, failure_domain=domain, link_mbps=link_mbps),
        ip="127.0.0.1",
        sequence=1,
        version=version,
        endpoint_revision=endpoint_revision,
        uses={},
        retries={},
    )


async def test_each_peer_that_is_ahead_is_asked_until_one_replies(nursery, autojump_clock):
    """Guards against a large configuration that all hosts fetch over one slow link.

    It also guards against a host that waits for the next beacon when the first peer does not reply,
    and against calls to the store because of peers that fail at once.
    """
    network = RecordingNetwork()
    dependencies: dict[str, Any] = {
        "directory": EmptyDirectory(),
        "network": network,
        "metrics": GatewayMetrics(metrics=Metrics()),
    }
    asked: list[str] = []
    exchange = DirectoryExchange(
        own_domain="a",
        record_change=lambda prefix, peer: None,
        ask_store=asked.append,
        count_domain_hosts=lambda: 1,
        **dependencies,
    )
    nursery.start_soon(exchange.run)
    beacons = [
        create_beacon("other-domain", "b", 1000),
        create_beacon("slow"),
        create_beacon("fast", link_mbps=200),
        create_beacon("slow-too", link_mbps=25),
    ]
    for beacon in beacons:
        exchange.handle_beacon(beacon, arrived_after=0.0, watching=False)
    await trio.sleep(ASK_SECONDS - 0.1)
    assert not asked
    await trio.sleep(0.2)
    assert network.requested_peers == ["fast", "slow-too", "slow", "other-domain"]


async def test_a_peer_that_holds_no_full_list_does_not_hide_the_changes_of_others(
    nursery, autojump_clock
):
    """Guards against a change that counts as known since a peer without it named its revision."""
    nothing = encode_state(())
    full = encode_state([ItemSet(prefix="servers/", revision=12, items=(), partial=False)])
    network = RecordingNetwork(replies={"empty": [nothing, nothing], "full": [full]})
    dependencies: dict[str, Any] = {
        "directory": EmptyDirectory(),
        "network": network,
        "metrics": GatewayMetrics(metrics=Metrics()),
    }
    exchange = DirectoryExchange(
        own_domain="a",
        record_change=lambda prefix, peer: None,
        ask_store=lambda prefix: None,
        count_domain_hosts=lambda: 1,
        **dependencies,
    )
    nursery.start_soon(exchange.run)
    for name, link_mbps in (("empty", 200), ("full", 10)):
        beacon = create_beacon(name, link_mbps=link_mbps, version=0, endpoint_revision=12)
        exchange.handle_beacon(beacon, arrived_after=0.0, watching=False)
    await trio.sleep(1.0)
    assert network.requested_peers == ["empty", "empty", "full"]
    assert dependencies["directory"].applied == ["full"]


async def test_changes_that_follow_each_other_and_arrive_are_not_asked_for(nursery, autojump_clock):
    """Guards against calls to the store by hosts that always lack the newest of many changes."""
    directory = EmptyDirectory()
    asked: list[str] = []
    exchange = DirectoryExchange(
        own_domain="a",
        directory=directory,  # type: ignore[arg-type]
        network=RecordingNetwork(),  # type: ignore[arg-type]
        record_change=lambda prefix, peer: None,
        ask_store=asked.append,
        count_domain_hosts=lambda: 1,
        metrics=GatewayMetrics(metrics=Metrics()),
    )
    nursery.start_soon(exchange.run)
    for revision in range(1, 60):
        beacon = create_beacon("h", version=0, endpoint_revision=revision)
        exchange.handle_beacon(beacon, arrived_after=0.0, watching=False)
        await trio.sleep(0.07)
        directory.endpoint_position = StorePosition(revision=revision - 1)
    assert not asked
    await trio.sleep(ASK_SECONDS + SPREAD_SECONDS)
    assert asked == ["servers/"]
