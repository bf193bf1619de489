"""Components of the daemon that need the platform."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path

import trio

from gypsumpost_core.placement.lease_settings import LeaseSettings
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_endpoints import AdminEndpoints
from gypsumpost_daemon.admin.admin_hosts import AdminHosts
from gypsumpost_daemon.admin.admin_lists import AdminLists
from gypsumpost_daemon.admin.admin_server import serve_admin
from gypsumpost_daemon.callers.list_access import ListAccess
from gypsumpost_daemon.calls import claim_batcher, direct_claims
from gypsumpost_daemon.calls.claims import create_claims
from gypsumpost_daemon.calls.service_calls import ServiceCalls
from gypsumpost_daemon.endpoints.endpoint_editor import EndpointEditor
from gypsumpost_daemon.endpoints.stopped_endpoint_replica import StoppedEndpointReplica
from gypsumpost_daemon.engines.endpoint_load_reader import EndpointLoadReader
from gypsumpost_daemon.engines.endpoint_table import EndpointTable
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.limits.share_task import ShareTask
from gypsumpost_daemon.lists.list_task import ListTask
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.host_list import HostList
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.placement.model_demand import ModelDemand
from gypsumpost_daemon.placement.order_lease_store import OrderLeaseStore
from gypsumpost_daemon.placement.placement_task import PlacementTask
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_client import StoreClient

REGISTERED_CLAIM_MODES = (claim_batcher, direct_claims)
"""Importing these modules fills the registry of claim modes."""

SECONDS_PER_HOUR = 3600

ANNOUNCE_INTERVAL = 0.2
"""Seconds between updates of the list revision that gossip announces."""


class PlatformComponents:
    """Store client, lists, shares, service calls, placement and administration.

    :param settings: settings of the daemon.
    :param directory: the known hosts.
    :param network: connections to other daemons.
    :param gossip: membership, which announces the list revision in use.
    :param endpoints: the known endpoints.
    :param router: chooses engines among the endpoints.
    :param engines: client that calls the engines.
    :param signals: what endpoints say about themselves.
    :param list_running: returns the models that this daemon's running generations use.
    :param secret: the deployment's shared key.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        directory: HostDirectory,
        network: PeerNetwork,
        gossip: Gossip,
        endpoints: EndpointTable,
        router: Router,
        engines: EngineClient,
        signals: EndpointSignals,
        list_running: Callable[[], Iterable[ModelRef]],
        secret: bytes,
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._router = router
        self._gossip = gossip
        self.eras = EraMonitor()
        self.store = StoreClient(
            addresses=[settings.platform_address],
            failure_domain=settings.failure_domain,
            eras=self.eras,
        )
        self.host_list = HostList(platform_address=settings.platform_address)
        self.host_list.add_listener(gossip.handle_host_list)
        self.host_list.add_listener(self._update_endpoints)
        self.stopped_endpoints = StoppedEndpointReplica(
            directory=directory,
            peers=network,
            store=self.store,
            apply=self._update_stopped_endpoints,
            eras=self.eras,
        )
        self.lists = ListTask(directory=directory, peers=network, store=self.store, eras=self.eras)
        gossip.add_revision_listener(self.lists.observe_peer_revision)
        self.shares = ShareTask(
            directory=directory,
            peers=network,
            get_lists=lambda: self.lists.lists,
            mode=settings.share_mode,
        )
        self.access = ListAccess(lists=self.lists, shares=self.shares)
        self.calls = ServiceCalls(
            directory=directory,
            incarnation=time.time_ns() // 1_000_000,
            network=network,
            claims=create_claims(
                settings.claim_mode,
                directory=directory,
                network=network,
                store=self.store,
                eras=self.eras,
                retention_seconds=settings.call_retention * SECONDS_PER_HOUR,
            ),
            secret=secret,
            list_endpoints=endpoints.list_all,
            signals=signals,
            answer_memory=engines.answer_memory,
        )
        demand = ModelDemand(
            get_lists=lambda: self.lists.lists, endpoints=endpoints, list_running=list_running
        )
        self.placement = PlacementTask(
            directory=directory,
            lease=OrderLease(host_id=settings.host_id, settings=LeaseSettings()),
            lease_store=OrderLeaseStore(
                store=self.store, domain=settings.failure_domain, eras=self.eras
            ),
            engines=engines,
            list_endpoints=endpoints.list_all,
            list_allowed=demand.list_allowed,
            read_demand=demand.read_demand,
            policy=settings.placement,
            settings=PlacementSettings(load_interval=settings.load_interval),
        )
        self._admin_handlers = (
            AdminLists(store=self.store, task=self.lists, directory=directory, eras=self.eras),
            AdminHosts(directory=directory, task=self.lists),
            AdminEndpoints(
                endpoints=endpoints,
                stopped_endpoints=self.stopped_endpoints,
                editor=EndpointEditor(store=self.store),
                is_leaving=router.is_leaving,
                read_request_count=EndpointLoadReader(engines=engines).read_request_count,
                find_limit=signals.find_limit,
            ),
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all components until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.host_list.run)
            nursery.start_soon(self.lists.run)
            nursery.start_soon(self.stopped_endpoints.run)
            nursery.start_soon(self.placement.run)
            nursery.start_soon(self.shares.run)
            nursery.start_soon(self._announce_revision)
            await nursery.start(self.calls.run)
            if self._settings.admin_address:
                await nursery.start(self._serve_admin)
            task_status.started()

    def _update_endpoints(self, snapshot: HostListSnapshot) -> None:
        self._endpoints.replace(list(snapshot.endpoints))
        self._router.update_endpoints(self._endpoints.list_all(), trio.current_time())

    def _update_stopped_endpoints(self, names: frozenset[str]) -> None:
        self._endpoints.replace_stopped(names)
        self._router.update_endpoints(self._endpoints.list_all(), trio.current_time())

    async def _serve_admin(self, task_status: trio.TaskStatus[list[str]]) -> None:
        key = Path(self._settings.admin_key_file).read_text().strip()
        application = AdminApplication(key=key)
        for handlers in self._admin_handlers:
            handlers.add_routes(application)
        await serve_admin(application, self._settings.admin_address, task_status)

    async def _announce_revision(self) -> None:
        while True:
            self._gossip.set_list_revision(self.lists.revision)
            await trio.sleep(ANNOUNCE_INTERVAL)
