"""Creates the components of the gateway and runs them."""

import math
import time

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.host_roles import HostRoles
from gypsumpost_core.gateway.prefill_rates import PrefillRates
from gypsumpost_core.gateway.retry_supply import RetrySupply
from gypsumpost_core.gateway.usage_table import UsageTable
from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.engines.answer_memory import AnswerMemory
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.beacon_state import BeaconState
from gypsumpost_daemon.gateway.copy_takeover import CopyTakeover
from gypsumpost_daemon.gateway.crash_guard import CrashGuard
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.directory_exchange import DirectoryExchange
from gypsumpost_daemon.gateway.endpoint_identifier import EndpointIdentifier
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor
from gypsumpost_daemon.gateway.endpoint_notices import EndpointNotices
from gypsumpost_daemon.gateway.endpoint_permits import RETRIES, EndpointPermits
from gypsumpost_daemon.gateway.endpoint_reports import EndpointReports
from gypsumpost_daemon.gateway.engine_probes import EngineProbes
from gypsumpost_daemon.gateway.engine_work_reader import EngineWorkReader
from gypsumpost_daemon.gateway.forward_context import ForwardContext, create_retry_budget
from gypsumpost_daemon.gateway.gateway_application import GatewayApplication
from gypsumpost_daemon.gateway.gateway_gauges import add_gauges
from gypsumpost_daemon.gateway.gateway_limits import GatewayLimits
from gypsumpost_daemon.gateway.gateway_listeners import GatewayListeners
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.gateway.gateway_settings import RELOADABLE, GatewaySettings
from gypsumpost_daemon.gateway.limit_refusals import LimitRefusals
from gypsumpost_daemon.gateway.metrics_application import MetricsApplication
from gypsumpost_daemon.gateway.peer_exchange import PeerExchange
from gypsumpost_daemon.gateway.planned_stop import PlannedStop
from gypsumpost_daemon.gateway.ready_application import ReadyApplication
from gypsumpost_daemon.gateway.store_confirmer import StoreConfirmer
from gypsumpost_daemon.gateway.store_follower import StoreFollower
from gypsumpost_daemon.gateway.stream_memory_exchange import StreamMemoryExchange
from gypsumpost_daemon.lifecycle.process_signals import ProcessSignals
from gypsumpost_daemon.limits.permit_client import PermitClient
from gypsumpost_daemon.limits.permit_taker import PermitTaker
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.prefill.turn_desk import TurnDesk
from gypsumpost_daemon.rollouts.rollout_components import create_rollouts
from gypsumpost_daemon.telemetry.log import Log
from gypsumpost_daemon.telemetry.metrics import Metrics

GOSSIP_TICK_SECONDS = 0.1
"""Shorter than any timeout of the membership protocol; each tick wakes the process."""

MILLISECONDS = 1000

LOG = Log(prefix="gateway")


class GatewayDaemon:
    """The components of one gateway process.

    :param settings: checked settings.
    :param adapter: names, formats and calls of the platform.
    :param metrics: metrics of the process.
    """

    def __init__(
        self, *, settings: GatewaySettings, adapter: GatewayAdapter, metrics: Metrics
    ) -> None:
        self.settings = settings
        self._metrics = metrics
        self._adapter = adapter
        self.directory = Directory(adapter=adapter)
        own = Host(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            gossip_address=settings.gossip_address,
            api_address=settings.caller_address,
        )
        self._hosts = HostDirectory(own=own)
        self.roles = HostRoles(own=own, link_mbps=max(1, round(settings.link_mbps)))
        store = adapter.create_store(settings)
        self._follower = StoreFollower(
            store=store,
            directory=self.directory,
            roles=self.roles,
        )
        gateway_metrics = GatewayMetrics(metrics=metrics)
        retry_budget = create_retry_budget(settings)
        self.request_limits = RequestLimits(own_id=settings.host_id)
        notices = EndpointNotices(
            fleet=self.directory.fleet,
            adapter=adapter,
            limits=self.request_limits,
            metrics=gateway_metrics,
        )
        key = KeyRing(current=settings.peer_key)
        self._network = PeerNetwork(directory=self._hosts, key=key)
        self._permit_client = PermitClient(
            directory=self._hosts, peers=self._network, limits=self.request_limits
        )
        self._permit_client.desk.add_supply(
            RETRIES, lambda service: RetrySupply(budget=retry_budget, service=service)
        )
        notices.add_limit_listener(self._permit_client.wake)
        permits = EndpointPermits(
            fleet=self.directory.fleet,
            taker=PermitTaker(limits=self.request_limits, client=self._permit_client),
            metrics=gateway_metrics,
        )
        work_reader = EngineWorkReader(
            adapter=adapter, fleet=self.directory.fleet, notices=notices, permits=permits
        )
        self.monitor = EndpointMonitor(
            directory=self.directory,
            identifier=EndpointIdentifier(adapter=adapter, notices=notices, permits=permits),
            engine_probes=EngineProbes(reader=work_reader),
            refresh=lambda: self._follower.refresh(adapter.endpoint_prefix),
            count_hosts=self._count_domain_hosts,
        )
        self._gossip = Gossip(
            directory=self._hosts,
            key=key,
            settings=MembershipSettings(tick=GOSSIP_TICK_SECONDS),
        )
        self.usage = UsageTable()
        self.rollouts = create_rollouts(
            own=own,
            settings=settings,
            adapter=adapter,
            store=store,
            directory=self.directory,
            usage=self.usage,
            list_domains=self._list_domains,
            is_watching=lambda: self._follower.watching,
        )
        rollout_state = self.rollouts.state if self.rollouts else None
        rates = PrefillRates()
        crash_guard = CrashGuard(
            fleet=self.directory.fleet,
            metrics=gateway_metrics,
            is_responsible=self._hosts.is_responsible,
        )
        self.monitor.add_loss_listener(crash_guard.record_loss)
        self.copies = CopyDirectory(
            own_id=settings.host_id,
            incarnation=round(time.time() * MILLISECONDS),
            remembers_since=trio.current_time() if settings.joins_running_hosts else -math.inf,
        )
        self._stream_memory = StreamMemoryExchange(
            hosts=self._hosts, peers=self._network, copies=self.copies
        )
        self._exchange = PeerExchange(
            address=settings.beacon_address,
            seed_ips=settings.seed_ips,
            hosts=self._hosts,
            gossip=self._gossip,
            key=key,
            state=BeaconState(
                own=own,
                ip=split_address(settings.beacon_address)[0],
                directory=self.directory,
                follower=self._follower,
                roles=self.roles,
                reports=EndpointReports(
                    own=own,
                    directory=self.directory,
                    monitor=self.monitor,
                    metrics=gateway_metrics,
                    list_hosts=self._list_domain_hosts,
                ),
                notices=notices,
                usage=self.usage,
                rates=rates,
                crash_guard=crash_guard,
                copies=self.copies,
                retry_budget=retry_budget,
                rollouts=rollout_state,
            ),
            exchange=DirectoryExchange(
                own_domain=settings.failure_domain,
                directory=self.directory,
                network=self._network,
                record_change=self._follower.record_missed_change,
                ask_store=lambda prefix: self._confirmer.poll_soon(prefix),
                count_domain_hosts=self._count_domain_hosts,
                metrics=gateway_metrics,
            ),
        )
        self._confirmer = StoreConfirmer(
            directory=self.directory,
            follower=self._follower,
            roles=self.roles,
            announce=self._exchange.schedule_beacons,
            announce_to_domain=self._exchange.schedule_domain_beacons,
        )
        self.limits = GatewayLimits(settings=settings, metrics=metrics)
        self.context = ForwardContext(
            settings=settings,
            adapter=adapter,
            directory=self.directory,
            monitor=self.monitor,
            notices=notices,
            permits=permits,
            work_reader=work_reader,
            usage=self.usage,
            rates=rates,
            crash_guard=crash_guard,
            copies=self.copies,
            takeover=CopyTakeover(
                copies=self.copies, memory=self._stream_memory, peers=self._network
            ),
            turns=TurnDesk(directory=self._hosts, peers=self._network),
            retry_budget=retry_budget,
            metrics=gateway_metrics,
            answer_memory=AnswerMemory(guard=self.limits.guard),
            count_hosts=self._count_hosts,
            rollouts=rollout_state,
        )
        self.application = GatewayApplication(context=self.context, confirm=self._confirmer.confirm)
        self._signals = ProcessSignals(reload=self._reload)
        self.serving = False
        add_gauges(
            metrics,
            follower=self._follower,
            context=self.context,
            limits=self.request_limits,
            count_open=lambda: self.application.open_requests,
        )

    async def run(self) -> None:
        """Serve until a stop signal, then until all requests have ended or the deadline passes."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._signals.run, nursery.cancel_scope)
            await nursery.start(self._network.run)
            await nursery.start(self._gossip.run)
            await nursery.start(self._exchange.run)
            nursery.start_soon(self.context.loop_lag.run)
            nursery.start_soon(self.directory.run)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._confirmer.run)
            nursery.start_soon(self._permit_client.run)
            nursery.start_soon(self._stream_memory.run)
            if self.rollouts is not None:
                nursery.start_soon(self.rollouts.run)
            await nursery.start(self.monitor.run)
            nursery.start_soon(self.limits.follow, self.directory)
            listeners = GatewayListeners(nursery=nursery, guard=self.limits.guard)
            ready = ReadyApplication(is_ready=self._is_ready)
            await listeners.serve_probes(ready, self.settings.ready_address)
            self._signals.record_serving()
            server = await listeners.serve(
                self.application,
                self.settings.caller_address,
                self.limits.http,
                LimitRefusals(context=self.context, confirm=self._confirmer.confirm).review,
            )
            if self.settings.metrics_address:
                scrape_application = MetricsApplication(metrics=self._metrics)
                await listeners.serve_probes(scrape_application, self.settings.metrics_address)
            self.serving = True
            LOG.write("started", address=server.address)
            await self._signals.stop_requested.wait()
            stop = PlannedStop(
                application=self.application,
                server=server,
                gossip=self._gossip,
                permits=self._permit_client,
            )
            await stop.run(trio.current_time() + self.settings.stop_seconds)
            self.serving = False
            nursery.cancel_scope.cancel()
        LOG.write("stopped", open_requests=self.application.open_requests)

    @property
    def stopping(self) -> bool:
        """True once a planned stop has begun."""
        return self._signals.stop_requested.is_set()

    def _is_ready(self) -> bool:
        return self.directory.ready and not self.stopping and not self._is_cut_off()

    def _is_cut_off(self) -> bool:
        """Return true if this host reaches neither the store nor any endpoint of some service.

        The load balancer then sends callers to other domains, whose hosts may still reach them.
        """
        return self.directory.store_lost and self.directory.has_lost_service()

    def _list_domains(self) -> dict[str, str]:
        """Return the failure domain of each live host by its id."""
        return {host.host_id: host.failure_domain for host in self._hosts.list_live()}

    def _count_hosts(self) -> int:
        return len(self._hosts.list_live())

    def _count_domain_hosts(self) -> int:
        return len(self._list_domain_hosts())

    def _list_domain_hosts(self) -> list[Host]:
        domain = self.settings.failure_domain
        return [host for host in self._hosts.list_live() if host.failure_domain == domain]

    def _reload(self) -> None:
        """Read the settings again and apply those that may change while the gateway runs."""
        read = self._adapter.read_settings()
        if isinstance(read, Err):
            LOG.write("kept the settings because the new ones are invalid", reasons=read.err_value)
            return
        changed = self.settings.find_changes(read.ok_value)
        reloaded = {name: getattr(read.ok_value, name) for name in changed if name in RELOADABLE}
        self.settings = attrs.evolve(self.settings, **reloaded)
        self.context.apply_settings(self.settings)
        self.limits.apply_settings(self.settings)
        self._exchange.set_seeds(self.settings.seed_ips)
        self.roles.link_mbps = max(1, round(self.settings.link_mbps))
        LOG.write(
            "reloaded the settings",
            changed=list(reloaded),
            needs_restart=[name for name in changed if name not in reloaded],
        )
